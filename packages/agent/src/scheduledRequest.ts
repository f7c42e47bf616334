/** Scheduling state of a request, shared by the work queue and its decision modules. */
import type {Tier} from '@marigoldfold/protocol';

/** A request as it is submitted to the queue. */
export interface QueueItem {
  readonly id: string;
  readonly tier: Tier;
  /** Deadline of the first token in milliseconds, on the queue's clock. */
  readonly dueAtMs: number;
  readonly interTokenTargetMs?: number | undefined;
  /** Output length that most requests of the class do not exceed, in tokens. */
  readonly typicalOutputTokens?: number | undefined;
}

/** A queued or running request with its scheduling state. */
export interface ScheduledRequest {
  readonly item: QueueItem;
  readonly generatedTokens: number;
  /** Number of times it was paused. */
  readonly preemptions: number;
  /** Start of the current uninterrupted run; undefined while it waits. */
  readonly startedAtMs: number | undefined;
  /** Time of the pause; undefined unless paused. */
  readonly pausedAtMs: number | undefined;
  /** Time of a pending pause request; undefined when there is none. */
  readonly pauseRequestedAtMs: number | undefined;
}

/** Writable form of a scheduled request, used by the queue. */
export interface MutableScheduledRequest extends ScheduledRequest {
  generatedTokens: number;
  preemptions: number;
  startedAtMs: number | undefined;
  pausedAtMs: number | undefined;
  pauseRequestedAtMs: number | undefined;
  /** Total running time in milliseconds, without the current run. */
  servedMs: number;
  lastTokenAtMs: number | undefined;
}

/** Creates the scheduling state of a request that has not run. */
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
