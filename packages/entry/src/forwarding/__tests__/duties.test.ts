import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import type {ReportOutcome, UsageReport} from '@marigoldfold/coordination';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {respondOk} from '../__fixtures__/endpointScripts.js';
import {ForwardFleet} from '../__fixtures__/forwardFleet.js';
import {type ForwardRig, waitUntil} from '../__fixtures__/forwardRig.js';

const WINDOW_MS = 5000;
const calls: UsageReport[] = [];
/** Number of calls from now on that are executed without a response. */
let lostCount = 0;
const duties = {
  leaseMs: 3000,
  windowMs: WINDOW_MS,
  lateMs: 10_000,
  holderKey: 'duties/holder',
  usageKey: 'duties/usage',
  reportUsage: (report: UsageReport): Promise<ReportOutcome> => {
    const isFenced = calls.some(({token}) => token > report.token);
    if (!isFenced) calls.push(report);
    if (lostCount === 0) return Promise.resolve(isFenced ? 'fenced' : 'accepted');
    lostCount -= 1;
    return Promise.resolve('unknown');
  },
} as const;
let fleet: ForwardFleet;

beforeEach(() => {
  calls.length = 0;
  lostCount = 0;
});

afterEach(async () => {
  await fleet.stop();
});

/** Advances the clock, with pauses in which datagrams arrive. */
async function advanceTo(timeMs: number): Promise<void> {
  while (fleet.first.clock.now() < timeMs) {
    await fleet.first.advance(Math.min(50, timeMs - fleet.first.clock.now()));
    await delay(1);
  }
}

async function findHolder(): Promise<ForwardRig> {
  for (const rig of fleet.rigs) {
    if (/^marigoldfold_forward_duty_holder 1$/m.test(await rig.process.metrics())) return rig;
  }
  throw new Error('no instance holds the duties');
}

// Guards against windows that are reported twice with different counts, and against counts that a change of holder loses.
test('each window is reported with the counts of all instances, also when the holder stops', async () => {
  fleet = await ForwardFleet.create(3, {duties});
  await fleet.first.addEndpoint('e1', respondOk);
  await fleet.start();
  let serving = fleet.rigs;
  let stopped = Promise.resolve();
  const expected: Record<number, number> = {};
  for (let window = 1; window <= 8; window += 1) {
    await advanceTo(window * WINDOW_MS + WINDOW_MS / 2);
    for (const [index, rig] of serving.entries()) {
      for (let number = 0; number <= index + window; number += 1) {
        await rig.sendRequest({'x-id': `${window}-${index}-${number}`});
        expected[window] = (expected[window] ?? 0) + 1;
      }
    }
    if (window === 4) {
      const holder = await findHolder();
      stopped = holder.process.stop();
      serving = serving.filter((rig) => rig !== holder);
      lostCount = 2;
    }
  }
  await advanceTo(10 * WINDOW_MS + 4000);
  await stopped;
  const reported = calls.filter(({window}) => window in expected);
  const different = new Set(reported.map(({window, counts}) => JSON.stringify([window, counts])));
  expect([...different].map((text) => JSON.parse(text) as unknown)).toEqual(
    Object.entries(expected).map(([window, count]) => [Number(window), {'account-1': count}]),
  );
  // The next holder cannot know that the last report was accepted; its first two calls get no response.
  const repeated = reported.map(({window}) => window).filter((window) => window === 3);
  expect(repeated).toHaveLength(4);
  expect(reported).toHaveLength(Object.keys(expected).length + 3);
  expect(new Set(calls.map(({token}) => token)).size).toBe(2);
});

// Guards against counts that are lost as they are too late for the last regular message of an instance that stops.
test('a request that begins at the end of a planned stop is reported', async () => {
  fleet = await ForwardFleet.create(2, {duties});
  let respond: (() => void) | undefined;
  await fleet.first.addEndpoint('e1', (response, received) => {
    respond = () => void respondOk(response, received);
  });
  await fleet.start();
  await advanceTo(2.5 * WINDOW_MS);
  const holder = await findHolder();
  const other = fleet.rigs.find((rig) => rig !== holder);
  const result = other?.sendRequest();
  await waitUntil(() => respond !== undefined);
  const stopped = other?.process.stop();
  await advanceTo(2.5 * WINDOW_MS + 4000);
  respond?.();
  expect((await result)?.status).toBe(200);
  await advanceTo(5 * WINDOW_MS);
  await stopped;
  expect(calls.find(({window}) => window === 3)?.counts).toEqual({'account-1': 1});
});

/** Runs a router beside a peer; returns its calls of the store, its messages to the peer and the timers of duties. */
async function observeRouter(options: {readonly duties?: typeof duties}) {
  fleet = await ForwardFleet.create(1, options);
  const rig = fleet.first;
  const scheduleTimer = rig.clock.schedule.bind(rig.clock);
  const dutyTimers: string[] = [];
  vi.spyOn(rig.clock, 'schedule').mockImplementation((delayMs, action) => {
    const {stack = ''} = new Error('timer');
    if (/\/duties\/|forwardDuties/.test(stack)) dutyTimers.push(stack);
    return scheduleTimer(delayMs, action);
  });
  const store = rig.switchableStore;
  const spies = [vi.spyOn(store, 'get'), vi.spyOn(store, 'write'), vi.spyOn(store, 'remove')];
  const grants = vi.spyOn(store, 'grantLease');
  const peer = createSocket('udp4');
  const messages: string[] = [];
  peer.on('message', (message) => messages.push(message.toString()));
  peer.bind(0, '127.0.0.1');
  await once(peer, 'listening');
  await rig.put('peers/other', `127.0.0.1:${peer.address().port}`);
  await rig.addEndpoint('e1', respondOk);
  await fleet.start();
  await rig.put('duties/holder', 'other');
  await advanceTo(7000);
  await rig.sendRequest();
  await advanceTo(12_000);
  await rig.remove('duties/holder');
  await advanceTo(30_000);
  peer.close();
  return {
    keys: new Set(spies.flatMap(({mock}) => mock.calls.map(([key]) => key))),
    grants: grants.mock.calls.length,
    messages: messages.filter((message) => message.includes('"usage"')),
    timers: dutyTimers.length,
    metrics: (await rig.process.metrics()).match(/marigoldfold_forward_(?:duty|usage)_\w+/g) ?? [],
  };
}

// Guards against duties that run in part on a platform that has none; the second test shows that the first can fail.
test('without duties there is no call, no timer, no message and no metric of them', async () => {
  const {keys, ...observed} = await observeRouter({});
  expect([...keys]).toEqual(['peers/front-1']);
  expect(observed).toEqual({grants: 1, messages: [], timers: 0, metrics: []});
  expect(calls).toEqual([]);
});

test('with duties there are calls, timers, messages and metrics of them', async () => {
  const {keys, ...observed} = await observeRouter({duties});
  expect([...keys].toSorted()).toEqual(['duties/holder', 'duties/usage', 'peers/front-1']);
  expect(observed.grants).toBeGreaterThan(1);
  expect(observed.messages).not.toEqual([]);
  expect(observed.timers).toBeGreaterThan(0);
  expect(observed.metrics).not.toEqual([]);
  expect(calls).not.toEqual([]);
});
