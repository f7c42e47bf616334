/** Interface of the simulated backends that run requests. */

/** A request as passed to a backend. */
export interface BackendJob {
  readonly id: string;
  /** Lower values run first. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly callMs: number;
}

/** Called for each token of an answer with its number, starting at 1. */
export type TokenListener = (number: number) => void;

/** A simulated engine or plain service that runs the requests that an agent dispatches. */
export interface Backend {
  begin(job: BackendJob, listener: TokenListener): void;
  /** Takes a request out of the batch and keeps its state. */
  pause(id: string): void;
  /** Puts a paused request back into the batch. */
  resume(id: string): void;
  /** Drops all requests and their state. */
  crash(): void;
  /** Multiplies the duration of engine steps and service calls; 1 is normal speed. */
  setSlowdown(factor: number): void;
  /** Tokens that were prefilled again because the state of a paused request had expired. */
  readonly recomputedTokens: number;
}
