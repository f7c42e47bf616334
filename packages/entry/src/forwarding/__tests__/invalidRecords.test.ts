import {afterEach, beforeEach, expect, test} from 'vitest';
import {respondOk} from '../__fixtures__/endpointScripts.js';
import {createRoute, createRoutingConfiguration, ForwardRig} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

async function startPair(other: {readonly id: string; readonly address: string}): Promise<void> {
  await rig.addEndpoint('e1', respondOk);
  await rig.register(other);
  await rig.start(createRoutingConfiguration({routes: [createRoute({kind: 'nonIdempotent'})]}));
}

test.each([
  ['a port out of range', {id: 'e2', address: '127.0.0.1:99999'}],
  ['an id that no header can carry', {id: 'e\n2', address: '127.0.0.1:1'}],
])('an endpoint record with %s costs no request its answer', async (_name, record) => {
  await startPair(record);
  for (let count = 0; count < 6; count += 1) {
    const {status} = await rig.sendRequest({'x-id': `r${count}`}, {method: 'POST'});
    expect(status).toBe(200);
  }
});

test.each(['127.0.0.1:99999', 'nonsense', ''.padEnd(300, '[')])(
  'a peer record with the address %j does not end the process',
  async (address) => {
    await startPair({id: 'e2', address: '127.0.0.1:1'});
    await rig.put('peers/other', address);
    await rig.syncStore();
    const {status} = await rig.sendRequest({'x-parts': 'a,b,c'}, {method: 'POST'});
    expect(status).toBe(200);
    await rig.advance(500);
    expect((await rig.sendRequest({'x-id': 'later'}, {method: 'POST'})).status).toBe(200);
  },
);
