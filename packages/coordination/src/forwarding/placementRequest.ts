/** Properties of a request by which its endpoint is chosen. */

/** Part of a prompt that other requests may share; the last part is used only by this request or its session. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parts and token count of a prompt, and the maximum number of output tokens. */
export interface PromptSize {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** Identity, service and remaining time of a request that has to be sent to an endpoint. */
export interface PlacementRequest {
  readonly id: string;
  readonly service: string;
  /** Milliseconds left until the latency objective is missed; negative once it is. */
  readonly targetLeftMs: number;
  /** Latency objective of the route, in milliseconds; `targetLeftMs` if absent. */
  readonly targetMs?: number;
  /** Milliseconds until the client is expected to disconnect if nothing arrives. */
  readonly patienceLeftMs: number;
  /** Objective for the longest pause between events, in milliseconds. */
  readonly pauseTargetMs: number | undefined;
  readonly prompt: PromptSize | undefined;
}
