/** What a simulated endpoint runs requests on. */

/** A request as a backend gets it. */
export interface BackendJob {
  readonly id: string;
  /** Lower values go first. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly callMs: number;
}

/** Receives the numbers of the tokens of one answer, from 1 to the last. */
export type TokenListener = (number: number) => void;

/** An engine or a plain service. */
export interface Backend {
  begin(job: BackendJob, listener: TokenListener): void;
  /** Takes a request out of the batch and keeps its state. */
  pause(id: string): void;
  /** Puts a paused request back into the batch. */
  resume(id: string): void;
  /** Loses everything. */
  crash(): void;
  /** Makes everything take longer by a factor. */
  setSlowdown(factor: number): void;
  /** Tokens of prompts that were read again because paused state was gone. */
  readonly recomputedTokens: number;
}
