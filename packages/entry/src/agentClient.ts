/** An agent, as an entry sees it. */
import type {Failure, Load, Withdrawal, Work, WorkEvent} from '@marigoldfold/protocol';
import type {CallError} from '@marigoldfold/transport';
import type {Result} from 'neverthrow';

/** Why no answer was begun. */
export type StartError =
  /** The agent did not take the request. */
  | {readonly kind: 'refused'; readonly failure: Failure; readonly load: Load}
  /** The agent cannot be reached; `mayHaveBeenSent` tells whether it may have the request all the same. */
  | {readonly kind: 'unreachable'; readonly message: string; readonly mayHaveBeenSent: boolean}
  /** The agent does not know the request. */
  | {readonly kind: 'unknown'};

/** Events of an answer; the iteration ends without a last event when the connection breaks. */
export type WorkEvents = AsyncIterable<WorkEvent>;

/** What an agent said to a withdrawal, with the incarnation that said it. */
export interface WithdrawalResult {
  readonly outcome: Withdrawal;
  readonly incarnation: string;
}

/** One agent. */
export interface AgentClient {
  /** The incarnation that was heard last; undefined before the first contact. */
  readonly incarnation: string | undefined;
  start(work: Work, signal: AbortSignal): Promise<Result<WorkEvents, StartError>>;
  /** Goes on with an answer after a chunk. */
  resume(
    id: string,
    afterChunk: number,
    signal: AbortSignal,
  ): Promise<Result<WorkEvents, StartError>>;
  /** Tells the agent that the chunks up to a number have arrived. */
  acknowledge(id: string, chunk: number): Promise<Result<void, CallError>>;
  withdraw(id: string): Promise<Result<WithdrawalResult, CallError>>;
  cancel(id: string): Promise<Result<boolean, CallError>>;
  probe(): Promise<Result<Load, CallError>>;
}
