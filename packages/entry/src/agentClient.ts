/** Interface through which an entry sends requests to an agent. */
import type {
  Failure,
  Load,
  WithdrawalOutcome,
  WorkRequest,
  WorkEvent,
} from '@marigoldfold/protocol';
import type {CallError} from '@marigoldfold/transport';
import type {Result} from 'neverthrow';

/** Why a start or a resume returned no answer. */
export type StartError =
  /** The agent responded with a failure instead of an answer; `load` is its load at that time. */
  | {readonly kind: 'refused'; readonly failure: Failure; readonly load: Load}
  /** The agent cannot be reached; with `mayHaveBeenSent` it may still have received the request. */
  | {readonly kind: 'unreachable'; readonly message: string; readonly mayHaveBeenSent: boolean}
  /** The agent has no request with this id. */
  | {readonly kind: 'unknown'};

/** Events of an answer; the iteration ends without a final event when the connection breaks. */
export type WorkEvents = AsyncIterable<WorkEvent>;

/** Result of withdrawing a request, with the incarnation of the agent that returned it. */
export interface WithdrawalResult {
  readonly outcome: WithdrawalOutcome;
  readonly incarnation: string;
}

/** Starts, resumes, acknowledges and withdraws requests at one agent. */
export interface AgentClient {
  /** Incarnation of the last response; undefined before the first one. */
  readonly incarnation: string | undefined;
  start(work: WorkRequest, signal: AbortSignal): Promise<Result<WorkEvents, StartError>>;
  /** Continues an answer after the last chunk that was received. */
  resume(
    id: string,
    afterChunk: number,
    signal: AbortSignal,
  ): Promise<Result<WorkEvents, StartError>>;
  /** Acknowledges the chunks up to a number, so that the agent can discard them. */
  acknowledge(id: string, chunk: number): Promise<Result<void, CallError>>;
  withdraw(id: string): Promise<Result<WithdrawalResult, CallError>>;
  cancel(id: string): Promise<Result<boolean, CallError>>;
  probe(): Promise<Result<Load, CallError>>;
}
