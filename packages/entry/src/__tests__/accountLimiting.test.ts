import {PeerConnections} from '@marigoldfold/coordination';
import {type Clock, DisposableStore, systemClock} from '@marigoldfold/runtime';
import {type Instance} from '@marigoldfold/protocol';
import {type Account, objectSchemas} from '@marigoldfold/state';
import {createClusterKey, listen, serverLimitsSchema} from '@marigoldfold/transport';
import {afterEach, describe, expect, it} from 'vitest';
import {createAccountLimiting} from '../accountLimiting.js';

const disposables: DisposableStore[] = [];
let skewMs = 0;
const clock: Clock = {
  now: () => systemClock.now() + skewMs,
  schedule: (delayMs, action) => systemClock.schedule(delayMs, action),
};
const account: Account = objectSchemas.account.parse({
  keyDigests: ['0'.repeat(64)],
  classes: ['standard'],
  defaultClass: 'standard',
  requestsPerSecond: 1000,
  burst: 1000,
  concurrency: 10,
});

afterEach(() => {
  for (const store of disposables.splice(0)) store[Symbol.dispose]();
});

async function startEntries(keys: readonly string[]) {
  const store = new DisposableStore();
  disposables.push(store);
  const entries = [];
  for (const [index, key] of keys.entries()) {
    const name = `entry-${index + 1}`;
    const clusterKey = createClusterKey(key);
    const limiting = store.add(
      createAccountLimiting({
        clock,
        self: name,
        region: 'lombardy',
        clusterKey,
        accountOf: () => account,
        peers: store.add(new PeerConnections(clusterKey)),
        addPeerMethods: (methods) => methods,
      }),
    );
    const server = await listen({
      host: '127.0.0.1',
      port: 0,
      limits: serverLimitsSchema.parse({}),
      handle: (_, response) => {
        response.end();
        return Promise.resolve();
      },
      upgrade: (request, socket, head) => {
        limiting.control.upgrade(request, socket, head);
      },
      onUnhandledError: () => undefined,
    });
    const {address} = store.add(server._unsafeUnwrap());
    const instance: Instance = {
      name,
      role: 'entry',
      address,
      failureDomain: 'north',
      region: 'lombardy',
      state: 'live',
    };
    entries.push({limiting, instance});
  }
  const instances = entries.map(({instance}) => instance);
  for (const {limiting} of entries) limiting.update(instances);
  return entries.map(({limiting}) => limiting.limits);
}

/** Sends requests to all entries until three rounds in a row admit none; returns the number of admitted requests. */
async function admitUntilFull(limits: Awaited<ReturnType<typeof startEntries>>): Promise<number> {
  let inFlight = 0;
  for (let idleRounds = 0; idleRounds < 3;) {
    let isIdle = true;
    for (const entry of limits) {
      const admitted = await entry.admit('choir', account, 3);
      if (admitted.isErr()) continue;
      inFlight += 1;
      isIdle = false;
    }
    idleRounds = isIdle ? idleRounds + 1 : 0;
  }
  return inFlight;
}

describe('account limits of entries that share an account', () => {
  it('are granted over the control connections', async () => {
    const limits = await startEntries([
      'a cluster key of some length',
      'a cluster key of some length',
    ]);
    // An entry that becomes an account's home grants no permits until all entries have reported those that they hold.
    skewMs += 5000;
    const inFlight = await admitUntilFull(limits);
    expect(inFlight).toBeGreaterThanOrEqual(9);
    expect(inFlight).toBeLessThanOrEqual(12);
  });

  it('fall back to a separate share for each entry when the cluster keys differ', async () => {
    const limits = await startEntries([
      'a cluster key of some length',
      'another cluster key, longer',
    ]);
    const inFlight = await admitUntilFull(limits);
    expect(inFlight).toBeGreaterThanOrEqual(2);
    expect(inFlight).toBeLessThanOrEqual(15);
  });
});
