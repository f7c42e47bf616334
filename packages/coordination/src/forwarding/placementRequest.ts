/** What the choice of an endpoint knows of a request. */

/** A part of a prompt that requests share; the last one belongs to the request or its session. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The size of a generation. */
export interface PromptSize {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** A request as the choice sees it. */
export interface PlacementRequest {
  readonly id: string;
  readonly service: string;
  /** Milliseconds left until the latency objective is missed; negative when it is. */
  readonly targetLeftMs: number;
  /** Milliseconds after which the client is expected to leave if nothing has come. */
  readonly patienceLeftMs: number;
  /** Longest pause between events within the objective, in milliseconds. */
  readonly pauseTargetMs: number | undefined;
  readonly prompt: PromptSize | undefined;
}
