/** A request that an endpoint works on, as far as this process knows. */
import type {PromptSize} from './demand.js';

/** A request at an endpoint. */
export interface Flight {
  readonly requestId: string;
  readonly sentAtMs: number;
  /** Milliseconds that reading its prompt should take there. */
  readonly readMs: number;
  /** Priority, 0 is the most urgent. */
  readonly priority: number;
  readonly prompt: PromptSize | undefined;
  /** Set when its first event has come. */
  firstEventAtMs: number | undefined;
}
