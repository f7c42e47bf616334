/** Counts this instance's requests per account and window. */
import type {FleetTime} from './fleetTime.js';

/** Numbers of requests by account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Time and length of the windows. */
export interface UsageCounterOptions {
  readonly time: Pick<FleetTime, 'nowMs' | 'startedMs'>;
  readonly windowMs: number;
  /** Number of windows that are kept, the current one included. */
  readonly keptWindows: number;
}

/** Counts of the last windows. */
export class UsageCounter {
  readonly #options: UsageCounterOptions;
  readonly #windows = new Map<number, Map<string, number>>();

  constructor(options: UsageCounterOptions) {
    this.#options = options;
  }

  /** Counts a request that has begun to run; to be called once for each request. */
  recordBegun(account: string): void {
    const window = this.currentWindow;
    let counts = this.#windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      this.#windows.set(window, counts);
      const oldest = window - this.#options.keptWindows;
      // Later windows were counted before this instance's clock was corrected.
      for (const kept of this.#windows.keys())
        if (kept <= oldest || kept > window + 1) this.#windows.delete(kept);
    }
    counts.set(account, (counts.get(account) ?? 0) + 1);
  }

  get currentWindow(): number {
    return this.#windowAt(this.#options.time.nowMs);
  }

  /** The window in which this instance started. */
  get firstWindow(): number {
    return this.#windowAt(this.#options.time.startedMs);
  }

  /** Counts by account of each kept window that has any. */
  get windows(): ReadonlyMap<number, ReadonlyMap<string, number>> {
    return this.#windows;
  }

  #windowAt(timeMs: number): number {
    return Math.floor(timeMs / this.#options.windowMs);
  }
}
