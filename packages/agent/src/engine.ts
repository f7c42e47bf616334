/** A model engine, as its agent sees it. */
import type {Generation} from '@marigoldfold/protocol';

/** A part of an engine's answer; numbers start at 1. */
export interface EngineChunk {
  readonly number: number;
  /** JSON text of the part. */
  readonly data: string;
}

/** How a stream from the engine ended. */
export type EngineEnd =
  | {readonly kind: 'whole'}
  /** The connection ended before the answer did; `mayHaveBeenSent` tells whether the engine may have the request. */
  | {readonly kind: 'broken'; readonly mayHaveBeenSent: boolean}
  /** Nothing came for too long. */
  | {readonly kind: 'silent'}
  /** The engine gave something that is no part of an answer. */
  | {readonly kind: 'unreadable'; readonly message: string}
  /** The engine does not know the generation, or no longer. */
  | {readonly kind: 'unknown'}
  /** The engine did not take the request. */
  | {readonly kind: 'refused'; readonly status: number; readonly message: string};

/** A generation as it is handed to the engine. */
export interface EngineJob {
  readonly id: string;
  /** Lower values go first. */
  readonly priority: number;
  readonly generation: Generation;
}

/** A stream from the engine; aborting it pauses the generation. */
export type EngineStream = AsyncGenerator<EngineChunk, EngineEnd>;

/** A model engine. */
export interface Engine {
  begin(job: EngineJob, signal: AbortSignal): EngineStream;
  /** Goes on with a paused or broken generation after a chunk. */
  resume(id: string, afterChunk: number, signal: AbortSignal): EngineStream;
  /** Drops a generation; the engine's resources are free afterwards. */
  cancel(id: string): Promise<void>;
}
