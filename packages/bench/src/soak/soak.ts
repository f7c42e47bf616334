/** Loads a fleet while its parts are killed and replaced, and counts what was lost, doubled or misreported. */
import {type Random, sleep, systemClock} from '@marigoldfold/runtime';
import {createHttpClient, type HttpClient} from '@marigoldfold/transport';
import {type CallerTarget, complete, post, type CallerResult} from './caller.js';
import {Fleet, type FleetOptions} from './fleet.js';

/** How a soak runs. */
export interface SoakOptions {
  readonly fleet: FleetOptions;
  readonly callers: number;
  /** The soak ends after this time, in milliseconds, or this many requests. */
  readonly durationMs: number;
  readonly maxRequests: number;
  readonly random: Random;
  readonly onProgress: (counts: SoakCounts) => void;
}

/** What a soak counted. */
export interface SoakCounts {
  requests: number;
  /** Tries beyond the first, after a failure or a cut connection. */
  retries: number;
  /** Requests that never had their whole answer in spite of retries. */
  unanswered: number;
  /** Failed tries by the word that was told, and tries whose connection was cut. */
  readonly failedTries: Record<'no' | 'yes' | 'unknown' | 'cut', number>;
  /** Postings whose caller was answered and that are not in the ledger. */
  lost: number;
  /** Keys that are in the ledger more than once. */
  doubled: number;
  /** Answers that were not the whole answer to their own request, and words that were not so. */
  misreported: number;
  /** Keys whose outcome has to be settled by an operator. */
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

/** One try that was told something about its work. */
interface ReportedFailure {
  readonly requestId: string;
  readonly ran: 'no' | 'yes' | 'unknown';
  readonly code: string;
}

/** Runs a soak. */
export async function soak(options: SoakOptions): Promise<SoakCounts> {
  using fleet = await Fleet.start(options.fleet);
  using client = createHttpClient();
  const run = new SoakRun(options, fleet, client);
  await run.run();
  return run.counts;
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
    // Work whose entry was killed ends within the agents' limit; until then it may still run.
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
      complete(target, prompt, tokens, isStreamed),
    );
    if (!isComplete) this.counts.unanswered += 1;
  }

  async #post(key: string): Promise<void> {
    const isComplete = await this.#sendWithRetries((target) => post(target, key, key));
    if (isComplete) this.#answeredKeys.add(key);
    else this.#unknownKeys.add(key);
  }

  /** Tries until there is a whole answer; a call that may have run is asked for again by its key. */
  async #sendWithRetries(send: (target: CallerTarget) => Promise<CallerResult>): Promise<boolean> {
    for (let tries = 1; tries <= MAX_TRIES; tries += 1) {
      if (tries > 1) {
        this.counts.retries += 1;
        await sleep(systemClock, RETRY_MS * tries);
      }
      const result = await send(this.#target());
      if (result.kind === 'whole') return true;
      if (result.kind === 'wrong') this.#addProblem('misreported', `wrong answer: ${result.text}`);
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

  /** Kills an engine and puts another in its place, with an agent of its own. */
  async #replaceEngine(): Promise<void> {
    const agent = this.#fleet.agents.find(({endpoint}) => this.#fleet.engines.has(endpoint));
    if (agent === undefined) return;
    this.counts.kills += 1;
    this.#fleet.killEngine(agent.endpoint);
    await this.#fleet.startEngine(agent.endpoint);
    await this.#fleet.startAgent(agent.endpoint);
    await this.#fleet.drainAgent(agent);
  }

  /** Compares what callers were told with what engines and ledgers have done. */
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
      if (!postings.has(key)) this.#addProblem('lost', `${key} was answered and not posted`);
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
