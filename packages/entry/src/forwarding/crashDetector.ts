/** Tells the crash of an endpoint from a single connection that broke. */
import {
  type Endpoint,
  type EndpointCrash,
  type PromptSize,
  sharedPartIds,
} from '@marigoldfold/coordination';
import type {Clock} from '@marigoldfold/runtime';
import type {AttemptOutcome} from './attempt.js';

/** Clock and callbacks of a detector. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  /** Whether a process listens on an address; undefined if that is not known in time. */
  readonly isListening: (address: string, timeoutMs: number) => Promise<boolean | undefined>;
  /** Called for each request that had not begun at an endpoint that crashed. */
  readonly onCrash: (endpoint: Endpoint, crash: EndpointCrash) => void;
}

/** Several round trips within a region. */
const CHECK_TIMEOUT_MS = 100;
/** Time for which a check holds for further connections to the endpoint that broke, in milliseconds. */
const CHECK_VALIDITY_MS = 1000;

interface Check {
  readonly atMs: number;
  readonly isCrash: Promise<boolean>;
}

/** Checks endpoints after requests broke before they had begun. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  /** Last check of each lifetime of an endpoint, oldest first. */
  readonly #checks = new Map<string, Check>();

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Resolves to whether the endpoint crashed before its response had begun. */
  async recordOutcome(
    endpoint: Endpoint,
    outcome: AttemptOutcome,
    prompt: PromptSize | undefined,
  ): Promise<boolean> {
    if (outcome.kind !== 'broken' || outcome.hasBegun || prompt === undefined) return false;
    const {id, startedAtMs} = endpoint.record;
    const lifetime = `${id}@${startedAtMs}`;
    const isCrash = await this.#check(lifetime, endpoint.record.address);
    if (isCrash) this.#options.onCrash(endpoint, {lifetime, parts: sharedPartIds(prompt)});
    return isCrash;
  }

  #check(lifetime: string, address: string): Promise<boolean> {
    const {clock, isListening} = this.#options;
    const now = clock.now();
    for (const [checked, {atMs}] of this.#checks) {
      if (now - atMs < CHECK_VALIDITY_MS) break;
      this.#checks.delete(checked);
    }
    const recent = this.#checks.get(lifetime);
    if (recent !== undefined) return recent.isCrash;
    const isCrash = isListening(address, CHECK_TIMEOUT_MS).then((result) => result === false);
    this.#checks.set(lifetime, {atMs: now, isCrash});
    return isCrash;
  }
}
