/** Decides when a second endpoint is asked to continue a stream that is silent. */
import type {Clock} from '@marigoldfold/runtime';
import {StallTimer} from './stallTimer.js';

/** Time limits of the silence of a stream, in milliseconds, and what is done about it. */
export interface SilenceMonitorOptions {
  readonly clock: Clock;
  /** Silence after which an endpoint that cannot be reached is replaced. */
  readonly unreachableAfterMs: number;
  /** Silence after which any endpoint may be replaced; the client disconnects soon after. */
  readonly silentAfterMs: number;
  /** Time that `isReachable` takes at most. */
  readonly checkMs: number;
  /** Whether the endpoint can be reached, apart from this stream. */
  readonly isReachable: () => Promise<boolean>;
  /** Called when another endpoint should be asked as well; the stream goes on. */
  readonly onSilent: (isReachable: boolean) => void;
}

/**
 * Silence alone does not tell an endpoint that is gone from one that has preempted the request, and the latter's stream
 * goes on. So a silent stream is never ended here.
 */
export class SilenceMonitor implements Disposable {
  readonly #options: SilenceMonitorOptions;
  readonly #timers: readonly StallTimer[];
  /** Rises with each event; tells whether the stream has been silent since a check began. */
  #eventCount = 0;
  #isDisposed = false;

  constructor(options: SilenceMonitorOptions) {
    this.#options = options;
    const {clock, unreachableAfterMs, silentAfterMs, checkMs} = options;
    this.#timers = [
      new StallTimer(clock, unreachableAfterMs - checkMs, () => void this.#check()),
      new StallTimer(clock, silentAfterMs, () => {
        options.onSilent(true);
      }),
    ];
  }

  /** Records an event, from which the limits count anew. */
  recordEvent(): void {
    this.#eventCount += 1;
    for (const timer of this.#timers) timer.recordProgress();
  }

  /** Stops counting while the client reads. */
  pause(): void {
    for (const timer of this.#timers) timer.pause();
  }

  /** Continues counting. */
  resume(): void {
    for (const timer of this.#timers) timer.resume();
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
    for (const timer of this.#timers) timer[Symbol.dispose]();
  }

  async #check(): Promise<void> {
    const {isReachable, onSilent} = this.#options;
    const eventCount = this.#eventCount;
    if ((await isReachable()) || this.#isDisposed || this.#eventCount !== eventCount) return;
    onSilent(false);
  }
}
