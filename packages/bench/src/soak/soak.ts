/** Loads a fleet while its processes are killed and replaced; counts lost, doubled and misreported requests. */
import {type Random, sleep, systemClock} from '@marigoldfold/runtime';
import {createHttpClient, type HttpClient} from '@marigoldfold/transport';
import {
  type CallerTarget,
  requestCompletion,
  postLedgerEntry,
  type CallerResult,
} from './caller.js';
import {Fleet, type FleetOptions} from './fleet.js';

/** Size of the fleet, load, and limits on the duration and the number of requests. */
export interface SoakOptions {
  readonly fleet: FleetOptions;
  readonly callers: number;
  /** The soak ends after this time or after `maxRequests` requests. */
  readonly durationMs: number;
  readonly maxRequests: number;
  readonly random: Random;
  readonly onProgress: (counts: SoakCounts) => void;
}

/** Numbers of requests, retries and detected errors of a soak. */
export interface SoakCounts {
  requests: number;
  /** Further tries after a failure or a cut connection. */
  retries: number;
  /** Requests without a complete response after all retries. */
  unanswered: number;
  /** Failed tries by their reported `ran`, and tries whose connection was cut. */
  readonly failedTries: Record<'no' | 'yes' | 'unknown' | 'cut', number>;
  /** Postings that were answered with success but are not in the ledger. */
  lost: number;
  /** Idempotency keys that the ledger contains more than once. */
  doubled: number;
  /** Incomplete responses or responses to another request, and failures with a wrong `ran`. */
  misreported: number;
  /** Idempotency keys of calls with an unknown outcome, which an operator must settle. */
  unsettled: number;
  kills: number;
  drains: number;
  /** Descriptions of the first problems. */
  readonly problems: string[];
}

const POSTING_SHARE = 0.25;
const MAX_OUTPUT_TOKENS = 6;
const MAX_TRIES = 12;
const RETRY_MS = 50;
const FAULT_INTERVAL_MS = 700;
const PROGRESS_INTERVAL_MS = 10_000;
const MAX_PROBLEMS = 20;
const SETTLE_MS = 12_000;
const MIN_ENTRIES = 2;

/** A failed try that reported whether its work ran. */
interface ReportedFailure {
  readonly requestId: string;
  readonly ran: 'no' | 'yes' | 'unknown';
  readonly code: string;
}

/** Starts a fleet, runs the load with process failures on it, and checks the results at the end. */
export async function soak(options: SoakOptions): Promise<SoakCounts> {
  using fleet = await Fleet.start(options.fleet);
  using client = createHttpClient();
  const soakRun = new SoakRun(options, fleet, client);
  await soakRun.run();
  return soakRun.counts;
}

class SoakRun {
  readonly counts: SoakCounts = {
    requests: 0,
    retries: 0,
    unanswered: 0,
    failedTries: {no: 0, yes: 0, unknown: 0, cut: 0},
    lost: 0,
    doubled: 0,
    misreported: 0,
    unsettled: 0,
    kills: 0,
    drains: 0,
    problems: [],
  };
  readonly #options: SoakOptions;
  readonly #fleet: Fleet;
  readonly #client: HttpClient;
  readonly #reportedFailures: ReportedFailure[] = [];
  readonly #answeredKeys = new Set<string>();
  readonly #unknownKeys = new Set<string>();
  #isStopping = false;

  constructor(options: SoakOptions, fleet: Fleet, client: HttpClient) {
    this.#options = options;
    this.#fleet = fleet;
    this.#client = client;
  }

  async run(): Promise<void> {
    const {callers, durationMs, onProgress} = this.#options;
    const end = systemClock.schedule(durationMs, () => {
      this.#isStopping = true;
    });
    const progress = setInterval(() => {
      onProgress(this.counts);
    }, PROGRESS_INTERVAL_MS);
    const faults = this.#injectFaults();
    await Promise.all(Array.from({length: callers}, () => this.#runCaller()));
    this.#isStopping = true;
    end[Symbol.dispose]();
    await faults;
    clearInterval(progress);
    // Work of a killed entry may still run until the agents' time limit ends it.
    await sleep(systemClock, SETTLE_MS);
    this.#audit();
  }

  async #runCaller(): Promise<void> {
    const {random, maxRequests} = this.#options;
    while (!this.#isStopping && this.counts.requests < maxRequests) {
      this.counts.requests += 1;
      const name = `request ${this.counts.requests}`;
      if (random() < POSTING_SHARE) await this.#post(name);
      else await this.#complete(name);
    }
  }

  async #complete(prompt: string): Promise<void> {
    const {random} = this.#options;
    const tokens = 1 + Math.floor(random() * MAX_OUTPUT_TOKENS);
    const isStreamed = random() < 0.5;
    const isComplete = await this.#sendWithRetries((target) =>
      requestCompletion(target, prompt, tokens, isStreamed),
    );
    if (!isComplete) this.counts.unanswered += 1;
  }

  async #post(key: string): Promise<void> {
    const isComplete = await this.#sendWithRetries((target) => postLedgerEntry(target, key, key));
    if (isComplete) this.#answeredKeys.add(key);
    else this.#unknownKeys.add(key);
  }

  /** Retries with the same key until a response is complete; `call_outcome_unknown` ends the retries. */
  async #sendWithRetries(send: (target: CallerTarget) => Promise<CallerResult>): Promise<boolean> {
    for (let tries = 1; tries <= MAX_TRIES; tries += 1) {
      if (tries > 1) {
        this.counts.retries += 1;
        await sleep(systemClock, RETRY_MS * tries);
      }
      const result = await send(this.#target());
      if (result.kind === 'whole') return true;
      if (result.kind === 'wrong')
        this.#addProblem('misreported', `wrong response: ${result.text}`);
      else if (result.kind === 'cut') this.counts.failedTries.cut += 1;
      else {
        this.counts.failedTries[result.ran] += 1;
        this.#reportedFailures.push(result);
        if (result.code === 'call_outcome_unknown') return false;
      }
    }
    return false;
  }

  #target(): CallerTarget {
    const {entries, clientKey} = this.#fleet;
    const entry = entries[Math.floor(this.#options.random() * entries.length)];
    if (entry === undefined) throw new Error('the fleet has no entry');
    return {client: this.#client, address: entry.process.callers.address, clientKey};
  }

  async #injectFaults(): Promise<void> {
    const faults = [
      () => this.#replaceEntry(true),
      () => this.#replaceAgent(true),
      () => this.#replaceEngine(),
      () => this.#replaceEntry(false),
      () => this.#replaceAgent(false),
    ];
    for (let index = 0; !this.#isStopping; index += 1) {
      await sleep(systemClock, FAULT_INTERVAL_MS);
      await faults[index % faults.length]?.();
    }
  }

  async #replaceEntry(isKill: boolean): Promise<void> {
    const [oldest] = this.#fleet.entries;
    if (oldest === undefined || this.#fleet.entries.length < MIN_ENTRIES) return;
    await this.#fleet.startEntry();
    if (isKill) {
      this.counts.kills += 1;
      this.#fleet.killEntry(oldest);
    } else {
      this.counts.drains += 1;
      await this.#fleet.drainEntry(oldest);
    }
  }

  async #replaceAgent(isKill: boolean): Promise<void> {
    const [oldest] = this.#fleet.agents;
    if (oldest === undefined) return;
    await this.#fleet.startAgent(oldest.endpoint);
    if (isKill) {
      this.counts.kills += 1;
      this.#fleet.killAgent(oldest);
    } else {
      this.counts.drains += 1;
      await this.#fleet.drainAgent(oldest);
    }
  }

  /** Kills an engine and replaces it and its agent. */
  async #replaceEngine(): Promise<void> {
    const agent = this.#fleet.agents.find(({endpoint}) => this.#fleet.engines.has(endpoint));
    if (agent === undefined) return;
    this.counts.kills += 1;
    this.#fleet.killEngine(agent.endpoint);
    await this.#fleet.startEngine(agent.endpoint);
    await this.#fleet.startAgent(agent.endpoint);
    await this.#fleet.drainAgent(agent);
  }

  /** Compares the results at the callers with the work that engines and ledgers recorded. */
  #audit(): void {
    const ranIds = new Set(this.#fleet.generationIds);
    const postings = new Map<string, number>();
    for (const {implementation} of this.#fleet.allLedgers) {
      for (const {account, requestId} of implementation.postings) {
        ranIds.add(requestId);
        postings.set(account, (postings.get(account) ?? 0) + 1);
      }
    }
    for (const [key, count] of postings) {
      if (count > 1) this.#addProblem('doubled', `${key} was posted ${count} times`);
    }
    for (const key of this.#answeredKeys) {
      if (!postings.has(key))
        this.#addProblem('lost', `${key} was answered with success but not posted`);
    }
    for (const {requestId, ran, code} of this.#reportedFailures) {
      const hasRun = ranIds.has(requestId);
      if (ran === 'no' && hasRun)
        this.#addProblem('misreported', `${requestId}: no, ${code}, but ran`);
      if (ran === 'yes' && !hasRun) {
        this.#addProblem('misreported', `${requestId}: yes, ${code}, but did not run`);
      }
    }
    this.counts.unsettled = this.#unknownKeys.size;
  }

  #addProblem(count: 'lost' | 'doubled' | 'misreported', problem: string): void {
    this.counts[count] += 1;
    if (this.counts.problems.length < MAX_PROBLEMS) this.counts.problems.push(problem);
  }
}
