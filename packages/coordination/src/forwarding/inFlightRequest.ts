/** Tracks one request at an endpoint, whether sent by this process or reported by another. */
import type {PromptSize} from './placementRequest.js';

/** A request in flight at an endpoint. */
export interface InFlightRequest {
  readonly requestId: string;
  readonly sentAtMs: number;
  /** Expected prefill time of its prompt, in milliseconds. */
  readonly prefillMs: number;
  readonly prompt: PromptSize | undefined;
  /** Objective for the longest pause between its events, in milliseconds. */
  readonly pauseTargetMs: number | undefined;
  /** Prompt tokens that were not in the cache when it was sent. */
  readonly uncachedTokens: number;
  /** Undefined until the first event arrives. */
  firstEventAtMs: number | undefined;
  lastEventAtMs: number | undefined;
  /** Milliseconds between its last two events. */
  lastGapMs: number | undefined;
  /** Longest time between two events, in milliseconds. */
  longestPauseMs: number;
}
