/** Several instances with the usage duty on a virtual clock, with faults of network, store, service and clocks. */
import {
  type Clock,
  type Random,
  seededRandom,
  silentLogger,
  sleep,
  VirtualClock,
} from '@marigoldfold/runtime';
import {MemoryKeyValue} from '@marigoldfold/standin';
import type {KeyValue, StoreError, WriteOptions} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import {emptyUpdate, peerUpdateSchema} from '../../forwarding/peerMessages.js';
import {RangeMirror} from '../../forwarding/rangeMirror.js';
import {UsageDuty} from '../usageDuty.js';
import type {ReportOutcome, UsageReport} from '../usageReporter.js';

export const WINDOW_MS = 5000;
export const LATE_MS = 10_000;
/** Start of the tests in true time; not the start of a window. */
export const START_MS = 353_445_120 * WINDOW_MS + 1700;
const KEY = 'duties/usage';
const MAX_MESSAGE_BYTES = 1200;
const REGISTRATION_MS = 15_000;
/** Time from acquiring the duty until its holder may act. */
const ACT_DELAY_MS = 3300;

/** Probabilities of faults, 0 to 1, and longest delays. */
export interface FleetFaults {
  lostMessages: number;
  repeatedMessages: number;
  messageDelayMs: number;
  /** Calls to the duty service without a response, of which half are executed. */
  unansweredReports: number;
  reportDelayMs: number;
  /** Writes to the store without a response: a third each is lost, executed, or executed later. */
  unansweredWrites: number;
}

/** One process; a restart under the same name is another one. */
interface Instance {
  readonly name: string;
  readonly duty: UsageDuty;
  readonly mirror: RangeMirror;
  isDead: boolean;
  pausedUntilMs: number;
  wallErrorMs: number;
  /** The holder that the instance knows while its copy of the store is outdated. */
  outdatedHolder?: string;
}

export class UsageFleet {
  readonly clock = new VirtualClock();
  readonly memory = new MemoryKeyValue(this.clock);
  readonly faults: FleetFaults = {
    lostMessages: 0,
    repeatedMessages: 0,
    messageDelayMs: 2,
    unansweredReports: 0,
    reportDelayMs: 5,
    unansweredWrites: 0,
  };
  isStoreDown = false;
  isServiceDown = false;
  /**
   * Introduces a defect: counts are sent 2 s before they are recorded and stated to others, since writes are confirmed at
   * once and executed later, if the process runs then.
   */
  isSentUnrecorded = false;
  /** Whether a process was suspended. */
  hasPaused = false;
  storeWrites = 0;
  storeReads = 0;
  /** Executed reports: the first counts of each window, and when they arrived after its end. */
  readonly reports = new Map<number, {readonly counts: string; readonly lateMs: number}>();
  /** Windows that were reported with different counts. */
  readonly violations: number[] = [];
  readonly truth = new Map<number, Map<string, number>>();
  readonly messageBytes: number[] = [];
  readonly #random: Random;
  readonly #instances = new Map<string, Instance>();
  readonly #registeredUntilMs = new Map<string, number>();
  #holder: {readonly name: string; readonly token: number; readonly sinceMs: number} | undefined;
  #token = 0;
  #highestToken = 0;

  constructor(seed = 1) {
    this.#random = seededRandom(seed);
  }

  get trueMs(): number {
    return START_MS + this.clock.now();
  }

  get window(): number {
    return Math.floor(this.trueMs / WINDOW_MS);
  }

  get instanceNames(): readonly string[] {
    return [...this.#instances.values()].filter(({isDead}) => !isDead).map(({name}) => name);
  }

  get holderName(): string | undefined {
    return this.#holder?.name;
  }

  duty(name: string): UsageDuty {
    return this.#get(name).duty;
  }

  /** Starts an instance, whose wall clock may be wrong. */
  add(name: string, wallErrorMs = 0): void {
    const instance: {-readonly [K in keyof Instance]?: Instance[K]} = {
      name,
      isDead: false,
      pausedUntilMs: 0,
      wallErrorMs,
    };
    const self = instance as Instance;
    const clock = this.#clockOf(self);
    const wallTimeMs = () => this.trueMs + self.wallErrorMs;
    const store = this.#storeOf(self);
    instance.duty = new UsageDuty({
      clock,
      wallTimeMs,
      random: this.#random,
      logger: silentLogger,
      reportDefect: (_place, error) => {
        throw error;
      },
      self: name,
      windowMs: WINDOW_MS,
      lateMs: LATE_MS,
      lease: {
        current: () => this.#holdOf(name),
        loseByFence: () => (this.#holder = this.#holder?.name === name ? undefined : this.#holder),
      },
      report: (report) => this.#whenRunning(self, () => this.#call(report)),
      store,
      key: KEY,
      peers: () => [...this.#registeredUntilMs.keys()].filter((peer) => peer !== name),
      send: (peer, update) => {
        if (!self.isDead) this.#deliver(name, peer, {...emptyUpdate(name), ...update});
      },
      holderName: () => self.outdatedHolder ?? this.#holder?.name,
    });
    instance.mirror = new RangeMirror({
      clock,
      wallTimeMs,
      random: this.#random,
      logger: silentLogger,
      store,
      prefix: 'duties/',
      watchMs: 1000,
      maxAgeMs: 3550,
      batchMs: 100,
      onChange: (changes) => {
        for (const entry of changes) if (entry.key === KEY) self.duty.observeRecord(entry);
      },
    });
    this.#instances.set(name, self);
    this.#registeredUntilMs.set(name, Number.POSITIVE_INFINITY);
    self.duty.start();
  }

  /** Ends a process without notice; its registration lasts on. */
  kill(name: string): void {
    const instance = this.#get(name);
    instance.isDead = true;
    instance.mirror[Symbol.dispose]();
    instance.duty[Symbol.dispose]();
    this.#registeredUntilMs.set(name, this.clock.now() + REGISTRATION_MS);
    this.clock.schedule(REGISTRATION_MS, () => {
      if (this.#instances.get(name)?.isDead === true) this.#registeredUntilMs.delete(name);
    });
    if (this.#holder?.name === name) this.#holder = undefined;
  }

  stop(name: string): void {
    const {duty, mirror} = this.#get(name);
    duty[Symbol.dispose]();
    mirror[Symbol.dispose]();
    this.#registeredUntilMs.delete(name);
    this.#get(name).isDead = true;
    if (this.#holder?.name === name) this.#holder = undefined;
  }

  /** Suspends a process; its monotonic clock does not count the time. */
  pause(name: string, durationMs: number): void {
    this.hasPaused = true;
    this.#get(name).pausedUntilMs = this.clock.now() + durationMs;
    this.#suspendedMs.set(this.#get(name), this.#suspendedOf(name) + durationMs);
  }

  /** Stops the updates of an instance's copy of the store. */
  cutFromStore(name: string): void {
    const instance = this.#get(name);
    instance.mirror[Symbol.dispose]();
    if (this.holderName !== undefined) instance.outdatedHolder = this.holderName;
  }

  stepWallClock(name: string, stepMs: number): void {
    this.#get(name).wallErrorMs += stepMs;
  }

  /** Changes the holder; undefined: nobody holds the duty. */
  setHolder(name: string | undefined): void {
    this.#token += 1;
    this.#holder =
      name === undefined ? undefined : {name, token: this.#token, sinceMs: this.clock.now()};
  }

  /** Counts requests that begin now, if the instance runs. */
  begin(name: string, account: string, count = 1): void {
    const {isDead, pausedUntilMs, duty} = this.#get(name);
    if (isDead || count === 0 || this.clock.now() < pausedUntilMs) return;
    const counts = this.truth.get(this.window) ?? new Map<string, number>();
    this.truth.set(this.window, counts);
    for (let number = 0; number < count; number += 1) duty.counter.recordBegun(account);
    counts.set(account, (counts.get(account) ?? 0) + count);
  }

  /** True counts of a window in the form of `reports`. */
  trueCounts(window: number): string {
    return canonical(Object.fromEntries(this.truth.get(window) ?? []));
  }

  dispose(): void {
    for (const {isDead, duty, mirror} of this.#instances.values()) {
      if (isDead) continue;
      duty[Symbol.dispose]();
      mirror[Symbol.dispose]();
    }
  }

  readonly #suspendedMs = new Map<Instance, number>();

  #suspendedOf(name: string): number {
    return this.#suspendedMs.get(this.#get(name)) ?? 0;
  }

  #get(name: string): Instance {
    const instance = this.#instances.get(name);
    if (instance === undefined) throw new Error(`no instance ${name}`);
    return instance;
  }

  #holdOf(name: string) {
    if (this.#holder?.name !== name) return undefined;
    const {token, sinceMs} = this.#holder;
    return {token, mayAct: this.clock.now() - sinceMs >= ACT_DELAY_MS};
  }

  #chance(probability: number): boolean {
    return this.#random() < probability;
  }

  #clockOf(instance: Instance): Clock {
    const originMs = this.clock.now();
    const schedule = (delayMs: number, action: () => void): Disposable => {
      let timer = this.clock.schedule(delayMs, () => {
        const restMs = instance.pausedUntilMs - this.clock.now();
        if (restMs > 0) timer = schedule(restMs, action);
        else action();
      });
      return {
        [Symbol.dispose]: () => {
          timer[Symbol.dispose]();
        },
      };
    };
    const now = () => {
      const restMs = Math.max(0, instance.pausedUntilMs - this.clock.now());
      return this.clock.now() - originMs - (this.#suspendedMs.get(instance) ?? 0) + restMs;
    };
    return {now, schedule};
  }

  /** Makes a call whose response waits until the process runs; a dead process gets none. */
  async #whenRunning<T>(instance: Instance, run: () => Promise<T>): Promise<T> {
    const result = await run();
    while (this.clock.now() < instance.pausedUntilMs)
      await sleep(this.clock, instance.pausedUntilMs - this.clock.now());
    if (instance.isDead) return new Promise(() => undefined);
    return result;
  }

  #storeOf(instance: Instance): Pick<KeyValue, 'get' | 'write' | 'list' | 'watch'> {
    const call = <T>(run: () => Promise<Result<T, StoreError>>) =>
      this.#whenRunning(instance, async () => {
        await sleep(this.clock, 3);
        return this.isStoreDown || instance.isDead ? err(timedOut) : run();
      });
    return {
      get: (key) => {
        this.storeReads += 1;
        return call(() => this.memory.get(key));
      },
      list: (prefix, options) => call(() => this.memory.list(prefix, options)),
      watch: (prefix, options) => call(() => this.memory.watch(prefix, options)),
      write: (key, value, options) => {
        this.storeWrites += 1;
        return this.isSentUnrecorded
          ? this.#writeUnrecorded(instance, key, value, options)
          : call(() => this.#write(key, value, options));
      },
    };
  }

  async #write(key: string, value: string, options: WriteOptions): ReturnType<KeyValue['write']> {
    const writeLater = (delayMs: number) =>
      void this.clock.schedule(delayMs, () => {
        // The service compares numbers only, so that a late write may take effect after a restore.
        const {ifRevision} = options;
        const condition = ifRevision === 0 ? 0 : {...ifRevision, era: this.memory.era};
        if (!this.isStoreDown) void this.memory.write(key, value, {ifRevision: condition});
      });
    if (!this.#chance(this.faults.unansweredWrites)) return this.memory.write(key, value, options);
    if (this.#chance(1 / 3)) await this.memory.write(key, value, options);
    else if (this.#chance(1 / 2)) writeLater(this.#random() * 6000);
    return err(timedOut);
  }

  async #writeUnrecorded(
    instance: Instance,
    key: string,
    value: string,
    options: WriteOptions,
  ): ReturnType<KeyValue['write']> {
    this.#clockOf(instance).schedule(2000, () => {
      if (!instance.isDead) void this.memory.write(key, value, options);
    });
    const {revision} = (await this.memory.list('')).unwrapOr({revision: {era: 0, number: 0}});
    // The key is written next, unless another write comes first.
    return ok({kind: 'written', revision: {...revision, number: revision.number + 1}});
  }

  async #call(report: UsageReport): Promise<ReportOutcome> {
    const isUnanswered = this.#chance(this.faults.unansweredReports);
    const isExecuted = !this.isServiceDown && !(isUnanswered && this.#chance(0.5));
    const delayMs = this.faults.reportDelayMs * this.#random();
    if (isUnanswered) {
      if (isExecuted) this.clock.schedule(delayMs, () => void this.#execute(report));
      await sleep(this.clock, 1000);
      return 'unknown';
    }
    await sleep(this.clock, delayMs);
    return isExecuted ? this.#execute(report) : 'unknown';
  }

  #execute({token, window, counts}: UsageReport): ReportOutcome {
    if (token < this.#highestToken) return 'fenced';
    this.#highestToken = token;
    const text = canonical(counts);
    const former = this.reports.get(window);
    const lateMs = this.trueMs - (window + 1) * WINDOW_MS;
    if (former === undefined) this.reports.set(window, {counts: text, lateMs});
    else if (former.counts !== text) this.violations.push(window);
    return 'accepted';
  }

  #deliver(from: string, to: string, update: object): void {
    const text = JSON.stringify(update);
    this.messageBytes.push(text.length);
    if (text.length > MAX_MESSAGE_BYTES) throw new Error(`message of ${text.length} bytes`);
    if (this.#chance(this.faults.lostMessages)) return;
    const copies = this.#chance(this.faults.repeatedMessages) ? 2 : 1;
    const receive = () => {
      const instance = this.#instances.get(to);
      if (instance === undefined || instance.isDead) return;
      if (this.clock.now() < instance.pausedUntilMs) return;
      const {usage = []} = peerUpdateSchema.parse(JSON.parse(text));
      const heard = usage.map((part) => (this.isSentUnrecorded ? {...part, recorded: []} : part));
      instance.duty.receive(from, heard);
    };
    for (let copy = 0; copy < copies; copy += 1)
      this.clock.schedule(this.#random() * this.faults.messageDelayMs, receive);
  }
}

const timedOut: StoreError = {code: 'timed_out', message: 'no response', mayHaveTakenEffect: true};

function canonical(counts: UsageReport['counts']): string {
  return JSON.stringify(Object.entries(counts).sort(([a], [b]) => (a < b ? -1 : 1)));
}
