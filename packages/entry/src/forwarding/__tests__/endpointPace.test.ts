import {afterEach, beforeEach, expect, test} from 'vitest';
import {respondOk} from '../__fixtures__/endpointScripts.js';
import {createSignedHeaders, type EndpointScript, ForwardRig} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(async () => {
  rig = new ForwardRig();
  await rig.addEndpoint('e1', respondOk);
});

afterEach(async () => {
  await rig.stop();
});

const fail: EndpointScript = (response, {request}) => {
  response.writeHead(500, createSignedHeaders(request)).end();
};

async function windowOf(id: string): Promise<number | undefined> {
  const name = `marigoldfold_forward_endpoint_window{endpoint="${id}"} `;
  const lines = (await rig.process.metrics()).split('\n');
  const value = lines.find((line) => line.startsWith(name))?.slice(name.length);
  return value === undefined ? undefined : Number(value);
}

/** Sends requests at the same time, so that each endpoint gets some. */
async function sendAll(count: number): Promise<void> {
  const ids = Array.from({length: count}, (_, index) => `id-${index}`);
  const results = await Promise.all(ids.map((id) => rig.sendRequest({'x-id': id})));
  expect(results.map(({status}) => status)).toEqual(ids.map(() => 200));
}

test('endpoints of the first listing have no pace', async () => {
  await rig.addEndpoint('e2', respondOk);
  await rig.start();
  await sendAll(4);
  expect(await windowOf('e1')).toBeUndefined();
  expect(await windowOf('e2')).toBeUndefined();
});

test('plain answers raise the window of a new endpoint until it is established', async () => {
  await rig.start();
  await rig.addEndpoint('e2', respondOk);
  await rig.syncStore();
  expect(await windowOf('e2')).toBe(2);
  await sendAll(3);
  expect(await windowOf('e2')).toBeGreaterThan(2);
  for (let count = 0; count < 6; count += 1) await sendAll(6);
  expect(await windowOf('e2')).toBeUndefined();
  const states = rig.logEntries
    .filter(({message}) => message === 'endpoint pace')
    .map(({endpoint, state, reason}) => [endpoint, state, reason]);
  expect(states).toEqual([
    ['e2', 'begun', undefined],
    ['e2', 'ended', 'proven'],
  ]);
});

test('a new endpoint that fails is not established by its failures', async () => {
  await rig.start();
  await rig.addEndpoint('e2', fail);
  await rig.syncStore();
  for (let count = 0; count < 6; count += 1) await sendAll(4);
  expect(await windowOf('e2')).toBe(2);
});

// Guards against a change for deployments whose settings do not ask for it.
test('without the setting, no endpoint has a pace', async () => {
  await rig.stop();
  rig = new ForwardRig({pacesEndpoints: false});
  await rig.addEndpoint('e1', respondOk);
  await rig.start();
  await rig.addEndpoint('e2', respondOk);
  await rig.syncStore();
  await sendAll(4);
  expect(await windowOf('e2')).toBeUndefined();
  expect(rig.logEntries.filter(({message}) => message === 'endpoint pace')).toEqual([]);
});
