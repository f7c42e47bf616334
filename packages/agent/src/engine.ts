/** Interface through which the agent streams generations from a model engine. */
import type {Generation} from '@marigoldfold/protocol';

/** One chunk of an engine's answer; numbers start at 1 and have no gaps. */
export interface EngineChunk {
  readonly number: number;
  /** JSON text of the chunk. */
  readonly data: string;
}

/** Reason why an engine stream ended; `whole` means that the answer is complete. */
export type EngineEnd =
  | {readonly kind: 'whole'}
  /** The connection ended early; `mayHaveBeenSent` is whether the engine may have received the request. */
  | {readonly kind: 'broken'; readonly mayHaveBeenSent: boolean}
  /** No chunk arrived within the timeout. */
  | {readonly kind: 'silent'}
  /** The engine sent a chunk that cannot be parsed. */
  | {readonly kind: 'unreadable'; readonly message: string}
  /** The engine has no generation with this id, or dropped it. */
  | {readonly kind: 'unknown'}
  /** The engine rejected the request with an HTTP status. */
  | {readonly kind: 'refused'; readonly status: number; readonly message: string};

/** A generation request to the engine. */
export interface EngineJob {
  readonly id: string;
  /** Lower values are scheduled first. */
  readonly priority: number;
  readonly generation: Generation;
}

/** Yields chunks and returns the reason for the end; aborting the signal of the stream pauses the generation. */
export type EngineStream = AsyncGenerator<EngineChunk, EngineEnd>;

/** A model engine that can pause and resume generations. */
export interface Engine {
  begin(job: EngineJob, signal: AbortSignal): EngineStream;
  /** Resumes a paused or interrupted generation after chunk `afterChunk`. */
  resume(id: string, afterChunk: number, signal: AbortSignal): EngineStream;
  /** Cancels a generation and frees its resources in the engine. */
  cancel(id: string): Promise<void>;
}
