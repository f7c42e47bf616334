/** The faults of the matrix and the points at which they are put in. */

/** What can go wrong. */
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

/** What can go wrong. */
export type Fault = (typeof faults)[number];

/** Places at which messages pass. */
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

/** A message that passes a point. */
export interface InterceptedMessage {
  readonly point: InjectionPoint;
  readonly kind: 'generation' | 'call';
  /** Number of the attempt of the request, from 1. */
  readonly attempt: number;
  /** Whether the same key was called before. */
  readonly isRepeat: boolean;
  /** Whether the agent is leaving. */
  readonly isLeaving: boolean;
}

/** A fault that is put in at the first passage that fits. */
export interface Injection {
  readonly fault: Fault | 'refusal';
  readonly matches: (message: InterceptedMessage) => boolean;
}

/** Hands each injection out once. */
export class Injector {
  readonly #pending: Injection[];
  readonly #injected = new Set<Injection>();

  constructor(injections: readonly Injection[]) {
    this.#pending = [...injections];
  }

  /** Whether an injection was put in. */
  wasInjected(injection: Injection): boolean {
    return this.#injected.has(injection);
  }

  /** The fault of a passage; undefined for most. */
  takeFault(message: InterceptedMessage): Injection['fault'] | undefined {
    const index = this.#pending.findIndex(({matches}) => matches(message));
    if (index === -1) return undefined;
    const [injection] = this.#pending.splice(index, 1);
    if (injection === undefined) return undefined;
    this.#injected.add(injection);
    return injection.fault;
  }
}

/** How long a pause lasts: longer than every limit on a claim, a call or a silence. */
export const PAUSE_MS = 70_000;
/** How long two processes cannot reach each other, and the key-value service is down. */
export const OUTAGE_MS = 20_000;
/** How late a late message is. */
export const LATE_DELIVERY_MS = 5000;
/** How long a slow message takes. */
export const SLOW_MESSAGE_MS = 1500;
/** How long it takes until a broken connection is noticed. */
export const BREAK_DETECTION_MS = 100;
/** How long a message takes. */
export const LATENCY_MS = 1;
/** How long a crashed process is away. */
export const RESTART_DELAY_MS = 500;
