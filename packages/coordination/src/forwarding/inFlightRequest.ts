/** A request that an endpoint works on, as far as this process knows. */
import type {PromptSize} from './placementRequest.js';

/** A request at an endpoint. */
export interface InFlightRequest {
  readonly requestId: string;
  readonly sentAtMs: number;
  /** Milliseconds that reading its prompt should take there. */
  readonly prefillMs: number;
  readonly prompt: PromptSize | undefined;
  /** Longest pause between its events within the objective, in milliseconds. */
  readonly pauseTargetMs: number | undefined;
  /** Tokens of its prompt that were not in the cache when it was sent. */
  readonly uncachedTokens: number;
  /** Set when its first event has come. */
  firstEventAtMs: number | undefined;
  lastEventAtMs: number | undefined;
  /** Milliseconds between its last two events. */
  lastGapMs: number | undefined;
  /** Longest time between two of its events, in milliseconds. */
  longestPauseMs: number;
}
