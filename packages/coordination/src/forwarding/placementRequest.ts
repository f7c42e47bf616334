/** Describes a request for the selection of its endpoint. */

/** A prompt part that requests share; the last one belongs to the request or its session. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Tokens of a generation, with its prompt by parts. */
export interface PromptSize {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** A request that needs an endpoint. */
export interface PlacementRequest {
  readonly id: string;
  readonly service: string;
  /** Milliseconds left until the latency objective is missed; negative once it is. */
  readonly targetLeftMs: number;
  /** Milliseconds until the client is expected to disconnect if nothing arrives. */
  readonly patienceLeftMs: number;
  /** Objective for the longest pause between events, in milliseconds. */
  readonly pauseTargetMs: number | undefined;
  readonly prompt: PromptSize | undefined;
}
