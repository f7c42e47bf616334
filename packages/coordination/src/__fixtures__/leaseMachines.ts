/** Machines that compete for a leader lease, with the faults of a machine and of its link to the store. */
import {
  type Clock,
  seededRandom,
  silentLogger,
  sleep,
  type VirtualClock,
} from '@marigoldfold/runtime';
import {type MemoryKeyValue, SwitchableKeyValue} from '@marigoldfold/standin';
import {LeaderLease, type LeaderHold} from '../duties/leaderLease.js';
import {RangeMirror} from '../forwarding/rangeMirror.js';

export const LEASE_KEY = 'duties/holder';
export const LEASE_MS = 3000;
/** Round trip to the store, so that a response can arrive after a pause. */
const CALL_MS = 20;

interface Process {
  readonly store: SwitchableKeyValue;
  readonly lease: LeaderLease;
  readonly mirror: RangeMirror;
}

/** One machine; a restart gives it a new process with a new lifetime. */
export class LeaseMachine implements Disposable {
  readonly #virtual: VirtualClock;
  readonly #memory: MemoryKeyValue;
  readonly #peers: readonly string[];
  readonly name: string;
  /** Called when the process runs again after a pause, before anything else in it. */
  onResumed: () => void = () => undefined;
  #pausedUntilMs = 0;
  #suspendedMs = 0;
  #lifetime = 0;
  #process: Process;
  /** Difference of the wall clock from true time, in milliseconds. */
  wallErrorMs = 0;
  /** Time from the execution of a call to its response, in milliseconds. */
  responseMs = 0;

  constructor(virtual: VirtualClock, memory: MemoryKeyValue, name: string, peers = [name]) {
    this.#virtual = virtual;
    this.#memory = memory;
    this.#peers = peers;
    this.name = name;
    this.#process = this.#start();
  }

  /** Number of the present process, which no other one has. */
  get lifetime(): number {
    return 1000 * this.name.charCodeAt(0) + this.#lifetime;
  }

  get lease(): LeaderLease {
    return this.#process.lease;
  }

  get store(): SwitchableKeyValue {
    return this.#process.store;
  }

  get isPaused(): boolean {
    return this.#virtual.now() < this.#pausedUntilMs;
  }

  /** The hold as the process sees it; undefined while it is paused. */
  get hold(): LeaderHold | undefined {
    return this.isPaused ? undefined : this.lease.current();
  }

  /** The monotonic clock, which omits suspensions. */
  readonly clock: Clock = {
    now: () => this.#virtual.now() - this.#suspendedMs,
    schedule: (delayMs, action) => this.#schedule(delayMs, action),
  };

  /** Stops the process for a time, in which only the monotonic clock of a suspended machine stands still. */
  pause(kind: 'stopped' | 'suspended', durationMs: number): void {
    if (this.isPaused) return;
    this.#pausedUntilMs = this.#virtual.now() + durationMs;
    this.#virtual.schedule(durationMs, () => {
      if (kind === 'suspended') this.#suspendedMs += durationMs;
      this.onResumed();
    });
  }

  /** Ends the process, as by SIGTERM or by SIGKILL, and starts another one. */
  restart(kind: 'planned' | 'killed'): void {
    this.stop(kind);
    this.#process = this.#start();
  }

  stop(kind: 'planned' | 'killed'): void {
    if (kind === 'killed') this.store.isDown = true;
    this[Symbol.dispose]();
  }

  #start(): Process {
    const store = new SwitchableKeyValue(this.#memory, this.#virtual, () => this.#arrive());
    store.delayMs = CALL_MS;
    this.#lifetime += 1;
    const {clock, name} = this;
    const common = {
      clock,
      wallTimeMs: () => this.#virtual.now() + this.wallErrorMs,
      random: seededRandom(this.#lifetime),
      logger: silentLogger,
      store,
    };
    const key = LEASE_KEY;
    const identity = {key, instance: name, lifetime: this.lifetime, peers: () => this.#peers};
    const lease = new LeaderLease({...common, ...identity, leaseMs: LEASE_MS});
    let isRead = false;
    const mirror = new RangeMirror({
      ...common,
      prefix: 'duties/',
      watchMs: 1000,
      maxAgeMs: 3550,
      batchMs: 50,
      onChange: (changes) => {
        isRead = true;
        for (const entry of changes) lease.observeHolder(entry);
      },
      onConfirmed: () => {
        if (!isRead) lease.observeHolder(undefined);
        isRead = true;
      },
    });
    return {store, lease, mirror};
  }

  [Symbol.dispose](): void {
    this.#process.mirror[Symbol.dispose]();
    this.#process.lease[Symbol.dispose]();
  }

  async #arrive(): Promise<void> {
    if (this.responseMs > 0) await sleep(this.#virtual, this.responseMs);
    while (this.isPaused) await sleep(this.#virtual, this.#pausedUntilMs - this.#virtual.now());
  }

  #schedule(delayMs: number, action: () => void): Disposable {
    // Whole milliseconds, as timers have: a rounding error could else be scheduled again and again.
    const dueAtMs = this.clock.now() + Math.ceil(delayMs);
    let timer: Disposable;
    const fire = () => {
      const pausedMs = this.#pausedUntilMs - this.#virtual.now();
      const waitMs = pausedMs > 0 ? pausedMs : dueAtMs - this.clock.now();
      if (waitMs > 0) timer = this.#virtual.schedule(waitMs, fire);
      else action();
    };
    timer = this.#virtual.schedule(Math.ceil(delayMs), fire);
    const cancel = () => {
      timer[Symbol.dispose]();
    };
    return {[Symbol.dispose]: cancel};
  }
}
