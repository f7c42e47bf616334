/** Limits the requests of each client account. */
import type {Clock} from '@marigoldfold/runtime';
import {type Failure, refusal} from '@marigoldfold/protocol';
import type {Account} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';

interface Usage {
  tokens: number;
  updatedAtMs: number;
  inFlight: number;
}

const MS_PER_SECOND = 1000;
const CONCURRENCY_RETRY_MS = 250;

/** A token bucket and a concurrency cap for each account at this instance. */
export class AccountLimits {
  readonly #clock: Clock;
  readonly #usages = new Map<string, Usage>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Admits a request; the handle is disposed of when the request ends. */
  admit(name: string, account: Account): Result<Disposable, Failure> {
    const usage = this.#refill(name, account);
    if (usage.inFlight >= account.concurrency) {
      const message = `account ${name} has ${usage.inFlight} requests in flight, its limit`;
      return err(refusal('account_limited', message, CONCURRENCY_RETRY_MS));
    }
    if (usage.tokens < 1) {
      const waitMs = ((1 - usage.tokens) / account.requestsPerSecond) * MS_PER_SECOND;
      const message = `account ${name} is over ${account.requestsPerSecond} requests a second`;
      return err(refusal('account_limited', message, Math.ceil(waitMs)));
    }
    usage.tokens -= 1;
    usage.inFlight += 1;
    return ok({
      [Symbol.dispose]: () => {
        usage.inFlight -= 1;
      },
    });
  }

  #refill(name: string, account: Account): Usage {
    const now = this.#clock.now();
    const usage = this.#usages.get(name) ?? {tokens: account.burst, updatedAtMs: now, inFlight: 0};
    this.#usages.set(name, usage);
    const elapsedSeconds = (now - usage.updatedAtMs) / MS_PER_SECOND;
    usage.tokens = Math.min(
      account.burst,
      usage.tokens + elapsedSeconds * account.requestsPerSecond,
    );
    usage.updatedAtMs = now;
    return usage;
  }
}
