/** Batches grant requests: at most one message in flight to each home, for all accounts of that home. */
import {type Clock, sleep} from '@marigoldfold/runtime';
import type {AccountGrantRequest, AccountGrant, Instance} from '@marigoldfold/protocol';

/**
 * Sends grant requests to a home; resolves to undefined without a response. An item of the response is null if
 * the called entry is not the account's home.
 */
export type GrantCall = (
  home: Instance,
  requests: readonly AccountGrantRequest[],
) => Promise<readonly (AccountGrant | null)[] | undefined>;

/** Milliseconds for which requests to one home are collected before sending. */
const BATCH_WINDOW_MS = 5;

interface PendingRequest {
  readonly build: () => AccountGrantRequest;
  readonly resolve: (grant: AccountGrant | undefined) => void;
}

/** Collects the grant requests of one entry for `BATCH_WINDOW_MS` and sends them by home. */
export class GrantBatcher {
  readonly #clock: Clock;
  readonly #call: GrantCall;
  readonly #pending = new Map<string, PendingRequest[]>();

  constructor(clock: Clock, call: GrantCall) {
    this.#clock = clock;
    this.#call = call;
  }

  /** Resolves to the grant, or undefined without a response. `build` runs when the batch is sent. */
  request(home: Instance, build: () => AccountGrantRequest): Promise<AccountGrant | undefined> {
    return new Promise((resolve) => {
      const pending = this.#pending.get(home.name);
      if (pending !== undefined) {
        pending.push({build, resolve});
        return;
      }
      this.#pending.set(home.name, [{build, resolve}]);
      void this.#send(home);
    });
  }

  async #send(home: Instance): Promise<void> {
    while (true) {
      await sleep(this.#clock, BATCH_WINDOW_MS);
      const batch = this.#pending.get(home.name) ?? [];
      if (batch.length === 0) break;
      this.#pending.set(home.name, []);
      const requests = batch.map(({build}) => build());
      const grants = await this.#call(home, requests);
      for (const [index, {resolve}] of batch.entries()) resolve(grants?.[index] ?? undefined);
    }
    this.#pending.delete(home.name);
  }
}
