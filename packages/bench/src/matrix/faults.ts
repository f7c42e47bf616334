/** The faults of the matrix and the points at which they are injected. */

/** All faults, in the order of the columns of the matrix. */
export const faults = [
  'agent-crash',
  'entry-crash',
  'endpoint-crash',
  'agent-pause',
  'entry-pause',
  'endpoint-pause',
  'request-lost',
  'answer-lost',
  'slow',
  'cut-off',
  'duplicate',
  'late',
  'stale-list',
  'store-down',
] as const;

/** A fault of the matrix; it is injected when a message reaches an injection point. */
export type MatrixFault = (typeof faults)[number];

/** Messages that can be intercepted, by their purpose. */
export type InjectionPoint =
  | 'request'
  | 'stream'
  | 'resume'
  | 'withdrawal'
  | 'cancel'
  | 'engine-begin'
  | 'engine-stream'
  | 'claim'
  | 'call'
  | 'record'
  | 'release';

/** A message at an injection point. */
export interface InterceptedMessage {
  readonly point: InjectionPoint;
  readonly kind: 'generation' | 'call';
  /** Attempt number of the request, from 1. */
  readonly attempt: number;
  /** Whether an earlier call used the same idempotency key. */
  readonly isRepeat: boolean;
  /** Whether the agent is leaving. */
  readonly isLeaving: boolean;
}

/** A fault that is injected into the first matching message. */
export interface Injection {
  readonly fault: MatrixFault | 'refusal';
  readonly matches: (message: InterceptedMessage) => boolean;
}

/** Injects each fault once, at the first matching message. */
export class Injector {
  readonly #pending: Injection[];
  readonly #injected = new Set<Injection>();

  constructor(injections: readonly Injection[]) {
    this.#pending = [...injections];
  }

  /** Whether the fault was injected, which is the case once a message has matched. */
  wasInjected(injection: Injection): boolean {
    return this.#injected.has(injection);
  }

  /** The fault to inject into a message; undefined if no pending injection matches. */
  takeFault(message: InterceptedMessage): Injection['fault'] | undefined {
    const index = this.#pending.findIndex(({matches}) => matches(message));
    if (index === -1) return undefined;
    const [injection] = this.#pending.splice(index, 1);
    if (injection === undefined) return undefined;
    this.#injected.add(injection);
    return injection.fault;
  }
}

/** Duration of a pause; it exceeds every timeout for claims, calls and idle streams. */
export const PAUSE_DURATION_MS = 70_000;
/** Duration of a network partition or of an outage of the key-value service. */
export const OUTAGE_DURATION_MS = 20_000;
/** Delay of a `late` message. */
export const LATE_DELIVERY_MS = 5000;
/** Latency of a `slow` message. */
export const SLOW_MESSAGE_MS = 1500;
/** Time until a broken connection is detected. */
export const BREAK_DETECTION_MS = 100;
/** One-way latency of a message without a fault. */
export const LATENCY_MS = 1;
/** Time from a crash to the restart of the process. */
export const RESTART_DELAY_MS = 500;
