/** Tracks one request at an endpoint, whether sent by this process or reported by another. */
import type {PromptSize} from './placementRequest.js';

/** Progress of a request from its send to the end of its response. */
export interface InFlightRequest {
  readonly requestId: string;
  readonly sentAtMs: number;
  /** Latency objective of the answer, in milliseconds from the send. */
  readonly objectiveMs: number;
  /** Expected prefill time of the prompt, in milliseconds. */
  readonly prefillMs: number;
  readonly prompt: PromptSize | undefined;
  /** Objective for the longest pause between events of the response, in milliseconds. */
  readonly pauseTargetMs: number | undefined;
  /** Prompt tokens estimated not to be in the endpoint's cache when the request was sent. */
  readonly uncachedTokens: number;
  /** Clock time of the first response event, in milliseconds; undefined before it arrives. */
  firstEventAtMs: number | undefined;
  lastEventAtMs: number | undefined;
  /** Milliseconds between the last two events. */
  lastGapMs: number | undefined;
  /** Longest time between two events, in milliseconds. */
  longestPauseMs: number;
}
