import type {KeyValueCopy} from '@marigoldfold/standin';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {respondOk} from '../__fixtures__/endpointScripts.js';
import {ForwardFleet} from '../__fixtures__/forwardFleet.js';
import {
  createRoute,
  createRoutingConfiguration,
  ForwardRig,
  type TestEndpoint,
} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

/** A configuration whose only route, besides the first one, is that of its version. */
function configurationOf(version: number) {
  const routes = [createRoute({prefix: '/x'}), createRoute({prefix: `/v${version}/`})];
  return createRoutingConfiguration({version, routes});
}

/** Takes the service away for a moment and brings it back from a copy. */
async function restore(copy: KeyValueCopy): Promise<void> {
  rig.switchableStore.isDown = true;
  await rig.advance(300);
  rig.store.restore(copy);
  rig.switchableStore.isDown = false;
}

/** Sends requests at the same time, so that each endpoint in use gets some; returns who had any. */
async function usedEndpoints(endpoints: readonly TestEndpoint[]): Promise<readonly string[]> {
  for (const {received} of endpoints) received.length = 0;
  const ids = Array.from({length: 20}, (_, index) => `u${index}`);
  await Promise.all(ids.map((id) => rig.sendRequest({'x-id': id})));
  return endpoints.filter(({received}) => received.length > 0).map(({id}) => id);
}

async function changeRecord(id: string, changes: object): Promise<void> {
  const current = (await rig.store.get(`endpoints/${id}`))._unsafeUnwrap();
  const record = JSON.parse(current!.value) as object;
  await rig.put(`endpoints/${id}`, JSON.stringify({...record, ...changes}));
}

describe('a configuration after a restore of the store', () => {
  test('comes in force though its revision was given out before', async () => {
    await rig.addEndpoint('e1', respondOk);
    await rig.start(configurationOf(1));
    const copy = rig.store.copy();
    await rig.configure(configurationOf(2));
    await rig.syncStore();
    await restore(copy);
    await rig.syncStore();
    await rig.configure(configurationOf(3));
    await rig.syncStore();
    expect((await rig.sendRequest({}, {path: '/v3/x'})).status).toBe(200);
    const versions = rig.logEntries.filter(({inForce}) => inForce === true);
    expect(versions.map(({version}) => version)).toEqual([1, 2, 3]);
  });

  test('comes in force though the restored store has reached the watched revision again', async () => {
    await rig.addEndpoint('e1', respondOk);
    await rig.start(configurationOf(1));
    const copy = rig.store.copy();
    await rig.put('other/1', 'a');
    await rig.put('other/2', 'b');
    await rig.syncStore();
    rig.switchableStore.isDown = true;
    await rig.advance(300);
    rig.store.restore(copy);
    await rig.configure(configurationOf(2));
    await rig.put('other/3', 'c');
    rig.switchableStore.isDown = false;
    await rig.advance(3000);
    expect((await rig.sendRequest({}, {path: '/v2/x'})).status).toBe(200);
  });

  test('does not go back to the version of the copy', async () => {
    await rig.addEndpoint('e1', respondOk);
    await rig.start(configurationOf(1));
    const copy = rig.store.copy();
    await rig.configure(configurationOf(2));
    await rig.syncStore();
    await restore(copy);
    await rig.advance(1700);
    expect((await rig.sendRequest({}, {path: '/v2/x'})).status).toBe(200);
    // The route may have been added since, as the store is known to lack the newest version.
    expect((await rig.sendRequest({}, {path: '/v1/x'})).status).toBe(503);
    const inForce = rig.logEntries.filter(({inForce}) => inForce === true);
    expect(inForce.map(({version}) => version)).toEqual([1, 2]);
  });

  test('is not confirmed by a copy that holds an older version', async () => {
    await rig.addEndpoint('e1', respondOk);
    await rig.start(configurationOf(1));
    const copy = rig.store.copy();
    await rig.configure(configurationOf(2));
    await rig.syncStore();
    await restore(copy);
    await rig.advance(4500);
    expect((await rig.sendRequest()).status).toBe(503);
    expect(rig.process.isReady).toBe(false);
    await rig.configure(configurationOf(2));
    await rig.syncStore();
    expect((await rig.sendRequest()).status).toBe(200);
  });
});

test('a copy that has no configuration does not confirm the one in force', async () => {
  await rig.addEndpoint('e1', respondOk);
  const copy = rig.store.copy();
  await rig.start(configurationOf(1));
  await restore(copy);
  await rig.advance(4500);
  expect((await rig.sendRequest()).status).toBe(503);
});

describe('an endpoint after a restore of the store', () => {
  test('that has said it is leaving gets no request while the copy lists it as ready', async () => {
    const endpoints = [
      await rig.addEndpoint('e1', respondOk),
      await rig.addEndpoint('e2', respondOk),
    ];
    await rig.start();
    const copy = rig.store.copy();
    await changeRecord('e1', {isLeaving: true});
    await rig.syncStore();
    await restore(copy);
    await rig.syncStore();
    expect(await usedEndpoints(endpoints)).toEqual(['e2']);
  });

  test('that has left gets no request while the copy lists it', async () => {
    const endpoints = [
      await rig.addEndpoint('e1', respondOk),
      await rig.addEndpoint('e2', respondOk),
    ];
    await rig.start();
    const copy = rig.store.copy();
    await rig.remove('endpoints/e1');
    await rig.syncStore();
    await restore(copy);
    await rig.syncStore();
    expect(await usedEndpoints(endpoints)).toEqual(['e2']);
    await changeRecord('e1', {failureDomain: 'b'});
    await rig.syncStore();
    expect(await usedEndpoints(endpoints)).toEqual(['e1', 'e2']);
  });

  test('that the copy lacks is used until it has had time to register again', async () => {
    const first = await rig.addEndpoint('e1', respondOk);
    await rig.start();
    const copy = rig.store.copy();
    const second = await rig.addEndpoint('e2', respondOk);
    await rig.syncStore();
    await restore(copy);
    await rig.syncStore();
    expect(await usedEndpoints([first, second])).toEqual(['e1', 'e2']);
    await rig.advance(3000);
    expect(await usedEndpoints([first, second])).toEqual(['e1']);
  });

  test('that has restarted keeps its new lifetime', async () => {
    await rig.addEndpoint('e1', respondOk);
    await rig.start();
    const copy = rig.store.copy();
    await changeRecord('e1', {startedAtMs: 2, address: '127.0.0.1:1'});
    await rig.syncStore();
    await restore(copy);
    await rig.syncStore();
    expect((await rig.sendRequest()).status).toBe(503);
  });
});

describe('what an instance has written', () => {
  test('is written again if the copy lacks its registration', async () => {
    const copy = rig.store.copy();
    await rig.start();
    await restore(copy);
    await rig.advance(4000);
    expect((await rig.store.get('peers/front-1'))._unsafeUnwrap()).toBeDefined();
  });

  test('is written again though its lease now belongs to another writer', async () => {
    const copy = rig.store.copy();
    await rig.start();
    rig.store.restore(copy);
    const lease = (await rig.store.grantLease(15))._unsafeUnwrap();
    await rig.store.write('peers/other', '127.0.0.1:9', {ifRevision: 0, lease});
    await rig.advance(4000);
    expect((await rig.store.get('peers/front-1'))._unsafeUnwrap()).toBeDefined();
    await rig.advance(30_000);
    // Nobody renews the other writer's lease.
    expect((await rig.store.get('peers/other'))._unsafeUnwrap()).toBeUndefined();
  });
});

test('an instance that starts after a restore does not serve by the older configuration of the copy', async () => {
  const fleet = await ForwardFleet.create(2);
  const [running, starting] = fleet.rigs;
  await running!.addEndpoint('e1', respondOk);
  await running!.start(configurationOf(1));
  const copy = running!.store.copy();
  await running!.configure(configurationOf(2));
  await running!.advance(5000);
  running!.store.restore(copy);
  await running!.advance(300);
  expect((await running!.sendRequest()).status).toBe(200);
  await starting!.start('none');
  await starting!.advance(500);
  expect((await starting!.sendRequest()).status).toBe(503);
  await running!.configure(configurationOf(2));
  await running!.advance(1000);
  expect((await starting!.sendRequest()).status).toBe(200);
  await fleet.stop();
});

test('a quarantined prompt part whose record is lost stays quarantined and is recorded again', async () => {
  await rig.start();
  const copy = rig.store.copy();
  await rig.put('quarantine/digest-1', 'quarantined');
  await rig.syncStore();
  await restore(copy);
  await rig.advance(4000);
  expect(await rig.process.metrics()).toContain('quarantined_parts 1');
  expect((await rig.store.get('quarantine/digest-1'))._unsafeUnwrap()).toBeDefined();
});
