/** Requests as the queue and its decision modules see them. */
import type {Tier} from '@marigoldfold/protocol';

/** A request that is offered to the queue. */
export interface QueueItem {
  readonly id: string;
  readonly tier: Tier;
  /** When the first token is due, on the queue's clock. */
  readonly dueAtMs: number;
  readonly interTokenTargetMs?: number | undefined;
  /** Output length that most requests of the class stay under, in tokens. */
  readonly typicalOutputTokens?: number | undefined;
}

/** A request in the queue with what is known of it. */
export interface ScheduledRequest {
  readonly item: QueueItem;
  readonly generatedTokens: number;
  /** How often it was paused. */
  readonly preemptions: number;
  /** Since when it runs without a break; undefined while it waits. */
  readonly startedAtMs: number | undefined;
  /** Since when it is paused; undefined unless it is. */
  readonly pausedAtMs: number | undefined;
  /** Since when it is asked to pause; undefined unless it is. */
  readonly pauseRequestedAtMs: number | undefined;
}

/** An entry as its owner changes it. */
export interface MutableScheduledRequest extends ScheduledRequest {
  generatedTokens: number;
  preemptions: number;
  startedAtMs: number | undefined;
  pausedAtMs: number | undefined;
  pauseRequestedAtMs: number | undefined;
  /** Milliseconds that it ran before its last pause. */
  servedMs: number;
  lastTokenAtMs: number | undefined;
}

/** An entry for a request that has not run. */
export function createScheduledRequest(item: QueueItem): MutableScheduledRequest {
  return {
    item,
    generatedTokens: 0,
    preemptions: 0,
    startedAtMs: undefined,
    pausedAtMs: undefined,
    pauseRequestedAtMs: undefined,
    servedMs: 0,
    lastTokenAtMs: undefined,
  };
}
