/** One exchange between two processes of the matrix, with its fault. */
import {type Clock, sleep} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import {BREAK_MS, type Fault, LATE_MS, LATENCY_MS, OUTAGE_MS, PAUSE_MS, SLOW_MS} from './faults.js';
import type {Host} from './host.js';

/** Why an exchange has no answer. */
export interface Loss {
  readonly mayHaveBeenSent: boolean;
}

/** The receiving end, which may be replaced by a later life at any time. */
export interface Receiver {
  /** The process that listens now; undefined when none does. */
  readonly host: () => Host | undefined;
  /** Ends the process that listens now. */
  readonly crash: () => void;
}

/** Times until which pairs of processes cannot reach each other. */
export class Partitions {
  readonly #untilMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Separates a pair for a while. */
  cut(pair: string): void {
    this.#untilMs.set(pair, this.clock.now() + OUTAGE_MS);
  }

  /** Milliseconds until a pair is joined again; 0 when it is. */
  leftMs(pair: string): number {
    return Math.max(0, (this.#untilMs.get(pair) ?? 0) - this.clock.now());
  }
}

/** What an exchange needs. */
export interface ExchangeOptions<T> {
  readonly clock: Clock;
  readonly partitions: Partitions;
  readonly pair: string;
  readonly from: Host;
  readonly to: Receiver;
  readonly fault: Fault | undefined;
  /** Milliseconds until the sender gives up. */
  readonly timeoutMs: number;
  readonly handle: () => T | Promise<T>;
}

/** Sends a message and waits for its answer. */
export async function exchange<T>(options: ExchangeOptions<T>): Promise<Result<T, Loss>> {
  const {clock, from, timeoutMs} = options;
  const timer = new AbortController();
  const timeout = sleep(clock, timeoutMs, timer.signal).then(() => err({mayHaveBeenSent: true}));
  const outcome = await Promise.race([transmit(options), timeout]);
  timer.abort();
  await from.awake();
  return outcome;
}

const never = () => new Promise<never>(() => undefined);

async function transmit<T>(options: ExchangeOptions<T>): Promise<Result<T, Loss>> {
  const {clock, partitions, pair, from, to, fault, handle} = options;
  if (fault === 'entry-crash') from.crash();
  if (fault === 'entry-pause') from.pause(PAUSE_MS);
  if (fault === 'cut-off') partitions.cut(pair);
  await sleep(clock, fault === 'slow' ? SLOW_MS : LATENCY_MS);
  if (partitions.leftMs(pair) > 0) return never();
  if (fault === 'request-lost') return breakOff(clock);
  if (fault === 'late') {
    clock.schedule(LATE_MS, () => {
      if (to.host() !== undefined) void handle();
    });
    return breakOff(clock);
  }
  const host = to.host();
  if (host === undefined) return err({mayHaveBeenSent: false});
  if (fault === 'agent-pause') host.pause(PAUSE_MS);
  const broken = ended(host).then(() => breakOff<T>(clock));
  return Promise.race([answer(options, host, handle), broken]);
}

async function answer<T>(
  {clock, partitions, pair, to, fault}: ExchangeOptions<T>,
  host: Host,
  handle: () => T | Promise<T>,
): Promise<Result<T, Loss>> {
  await host.awake();
  const value = await handle();
  if (fault === 'duplicate') void handle();
  if (fault === 'agent-crash') {
    to.crash();
    return never();
  }
  if (fault === 'answer-lost') return breakOff(clock);
  await sleep(clock, LATENCY_MS);
  if (partitions.leftMs(pair) > 0) return never();
  return ok(value);
}

async function breakOff<T>(clock: Clock): Promise<Result<T, Loss>> {
  await sleep(clock, BREAK_MS);
  return err({mayHaveBeenSent: true});
}

function ended(host: Host): Promise<void> {
  return new Promise((resolve) => {
    host.ended.addEventListener('abort', () => {
      resolve();
    });
  });
}
