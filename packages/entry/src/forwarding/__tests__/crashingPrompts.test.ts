import {hash64} from '@marigoldfold/coordination';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {events} from '../__fixtures__/endpointScripts.js';
import {
  createRoute,
  createRoutingConfiguration,
  createSignedHeaders,
  type EndpointScript,
  ForwardRig,
} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

/** Starts endpoints that crash when they begin to respond to a prompt with the part `bad`. */
async function startEndpoints(count: number, isResumable: boolean): Promise<() => number> {
  let crashCount = 0;
  for (let number = 1; number <= count; number += 1) {
    const id = `e${number}`;
    const respondOrCrash: EndpointScript = (response, {request}) => {
      response.writeHead(200, createSignedHeaders(request));
      if (String(request.headers['x-parts']).split(',').includes('bad')) {
        response.flushHeaders();
        crashCount += 1;
        rig.crash(id);
      } else {
        response.end(events(1, 3));
      }
    };
    await rig.addEndpoint(id, respondOrCrash);
  }
  const routes = [createRoute({kind: 'stream', isResumable, maxAttempts: 3})];
  await rig.start(createRoutingConfiguration({routes}));
  return () => crashCount;
}

let requestCount = 0;

/** Sends a request with a prompt of the given shared parts and one of its own. */
async function send(...parts: readonly string[]) {
  requestCount += 1;
  const id = `r${requestCount}`;
  const result = await rig.sendRequest({'x-id': id, 'x-parts': [...parts, id].join(',')});
  return result.status;
}

test.each([false, true])(
  'requests with a prompt part that crashes endpoints crash few of them, resumable: %s',
  async (isResumable) => {
    const crashCount = await startEndpoints(16, isResumable);
    for (let round = 0; round < 10; round += 1) {
      await send('common', 'bad').catch(() => undefined);
      expect(await send('common')).toBe(200);
      await rig.advance(600);
    }
    expect(crashCount()).toBeLessThanOrEqual(5);
    expect(await send('common', 'bad')).toBe(503);
    expect(await send('common', 'good')).toBe(200);
  },
);

test('a quarantined prompt part is recorded for instances that start later, until it is cleared', async () => {
  await startEndpoints(8, false);
  for (let round = 0; round < 4; round += 1) {
    await send('common', 'bad').catch(() => undefined);
    await send('common');
    await rig.advance(600);
  }
  await rig.advance(3000);
  const {entries} = (await rig.store.list('quarantine/'))._unsafeUnwrap();
  expect(entries).toHaveLength(1);
  await rig.remove(entries[0]?.key ?? '');
  await rig.syncStore();
  expect(await send('common', 'bad')).not.toBe(503);
});

test('a part that another instance has quarantined is not sent', async () => {
  const crashCount = await startEndpoints(2, false);
  await rig.put(`quarantine/${hash64('bad').toString(16)}`, 'quarantined');
  await rig.syncStore();
  expect(await send('common', 'bad')).toBe(503);
  expect(await send('common')).toBe(200);
  expect(crashCount()).toBe(0);
});
