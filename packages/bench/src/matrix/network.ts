/** A request and its response between two processes of the fault matrix, with an optional fault. */
import {type Clock, sleep} from '@marigoldfold/runtime';
import {err, ok, type Result} from 'neverthrow';
import {
  BREAK_DETECTION_MS,
  type MatrixFault,
  LATE_DELIVERY_MS,
  LATENCY_MS,
  OUTAGE_DURATION_MS,
  PAUSE_DURATION_MS,
  SLOW_MESSAGE_MS,
} from './faults.js';
import type {SimulatedProcess} from './simulatedProcess.js';

/** The result when no response arrived; `mayHaveBeenSent` is true if the receiver may have handled the request. */
export interface ExchangeError {
  readonly mayHaveBeenSent: boolean;
}

/** The receiver of a message, whose process may be replaced at any time. */
export interface Receiver {
  /** The process that accepts messages now; undefined during a restart and after removal. */
  readonly runningProcess: () => SimulatedProcess | undefined;
  /** Ends the current process. */
  readonly crash: () => void;
}

/** Network partitions between pairs of processes, each identified by a name. */
export class Partitions {
  readonly #untilMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Blocks all messages between the two processes of a pair for `OUTAGE_DURATION_MS`. */
  cut(pair: string): void {
    this.#untilMs.set(pair, this.clock.now() + OUTAGE_DURATION_MS);
  }

  /** Milliseconds until the partition of a pair ends; 0 if there is none. */
  remainingMs(pair: string): number {
    return Math.max(0, (this.#untilMs.get(pair) ?? 0) - this.clock.now());
  }
}

/** The two processes of an {@link sendSimulatedRequest}, its message, fault and timeout. */
export interface ExchangeOptions<T> {
  readonly clock: Clock;
  readonly partitions: Partitions;
  readonly pair: string;
  readonly from: SimulatedProcess;
  readonly to: Receiver;
  readonly fault: MatrixFault | undefined;
  /** Time that the sender waits for a response. */
  readonly timeoutMs: number;
  readonly handle: () => T | Promise<T>;
}

/** Sends a request and waits for the response, the break of the connection or the timeout. */
export async function sendSimulatedRequest<T>(
  options: ExchangeOptions<T>,
): Promise<Result<T, ExchangeError>> {
  const {clock, from, timeoutMs} = options;
  const timer = new AbortController();
  const timeout = sleep(clock, timeoutMs, timer.signal).then(() => err({mayHaveBeenSent: true}));
  const outcome = await Promise.race([transmit(options), timeout]);
  timer.abort();
  await from.waitUntilRunning();
  return outcome;
}

const waitForever = () => new Promise<never>(() => undefined);

async function transmit<T>(options: ExchangeOptions<T>): Promise<Result<T, ExchangeError>> {
  const {clock, partitions, pair, from, to, fault, handle} = options;
  if (fault === 'entry-crash') from.crash();
  if (fault === 'entry-pause') from.pause(PAUSE_DURATION_MS);
  if (fault === 'cut-off') partitions.cut(pair);
  await sleep(clock, fault === 'slow' ? SLOW_MESSAGE_MS : LATENCY_MS);
  if (partitions.remainingMs(pair) > 0) return waitForever();
  if (fault === 'request-lost') return breakConnection(clock);
  if (fault === 'late') {
    clock.schedule(LATE_DELIVERY_MS, () => {
      if (to.runningProcess() !== undefined) void handle();
    });
    return breakConnection(clock);
  }
  const process = to.runningProcess();
  if (process === undefined) return err({mayHaveBeenSent: false});
  if (fault === 'agent-pause') process.pause(PAUSE_DURATION_MS);
  const broken = waitForExit(process).then(() => breakConnection<T>(clock));
  return Promise.race([respond(options, process, handle), broken]);
}

async function respond<T>(
  {clock, partitions, pair, to, fault}: ExchangeOptions<T>,
  process: SimulatedProcess,
  handle: () => T | Promise<T>,
): Promise<Result<T, ExchangeError>> {
  await process.waitUntilRunning();
  const value = await handle();
  if (fault === 'duplicate') void handle();
  if (fault === 'agent-crash') {
    to.crash();
    return waitForever();
  }
  if (fault === 'answer-lost') return breakConnection(clock);
  await sleep(clock, LATENCY_MS);
  if (partitions.remainingMs(pair) > 0) return waitForever();
  return ok(value);
}

async function breakConnection<T>(clock: Clock): Promise<Result<T, ExchangeError>> {
  await sleep(clock, BREAK_DETECTION_MS);
  return err({mayHaveBeenSent: true});
}

function waitForExit(process: SimulatedProcess): Promise<void> {
  return new Promise((resolve) => {
    process.exitSignal.addEventListener('abort', () => {
      resolve();
    });
  });
}
