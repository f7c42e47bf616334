import {VirtualClock} from '@marigoldfold/runtime';
import {MemoryKeyValue} from '@marigoldfold/standin';
import {describe, expect, test} from 'vitest';
import {LEASE_KEY, LEASE_MS, LeaseMachine} from '../../__fixtures__/leaseMachines.js';
import {rankMembers} from '../../rendezvous.js';
import {fencingTokenOf} from '../fencingToken.js';
import {parseLeaseHolder} from '../leaderLease.js';

const ACT_DELAY_MS = 3300;
const HELD_AFTER_RENEWAL_MS = 2700;

/** Machines by rank: the first one acquires the lease if nothing fails. */
function createFleet(size = 2) {
  const clock = new VirtualClock(1_000_000);
  const memory = new MemoryKeyValue(clock);
  const names = Array.from({length: size}, (_, index) => String.fromCharCode(97 + index));
  const ranked = rankMembers(LEASE_KEY, names, (name) => name);
  const machines = ranked.map((name) => new LeaseMachine(clock, memory, name, names));
  const [first, second = first] = machines;
  if (first === undefined || second === undefined) throw new Error('a fleet has a machine');
  const read = async () => (await memory.get(LEASE_KEY))._unsafeUnwrap();
  return {clock, memory, machines, first, second, read};
}

/** A fleet whose first machine may act. */
async function createActiveFleet(size = 2) {
  const fleet = createFleet(size);
  await fleet.clock.advance(ACT_DELAY_MS + 200);
  const token = fleet.first.hold?.token ?? 0;
  expect(fleet.first.hold).toEqual({token, mayAct: true});
  return {...fleet, token};
}

describe('acquisition', () => {
  test('acts only after the wait, with the token of the write', async () => {
    const {clock, first, read} = createFleet();
    await clock.advance(200);
    const entry = await read();
    const token = 2 ** 40 + (entry?.revision.number ?? 0);
    expect(parseLeaseHolder(entry)?.instance).toBe(first.name);
    expect(first.hold).toEqual({token, mayAct: false});
    await clock.advance(ACT_DELAY_MS - 200);
    expect(first.hold).toEqual({token, mayAct: false});
    await clock.advance(200);
    expect(first.hold).toEqual({token, mayAct: true});
  });

  // Guards against a burst of writes whenever the lease becomes free.
  test('few of many candidates call the store', async () => {
    const {clock, machines} = createFleet(14);
    await clock.advance(100);
    // The first read of the copy and a watch.
    expect(machines.slice(1).map(({store}) => store.callCount)).toEqual(Array(13).fill(2));
    await clock.advance(3000);
    expect(machines.filter(({hold}) => hold !== undefined)).toEqual([machines[0]]);
  });

  test('the next one by rank acquires the lease if the first one is cut off', async () => {
    const {clock, first, second} = createFleet();
    first.store.isDown = true;
    await clock.advance(500);
    expect(second.hold?.mayAct).toBe(false);
  });

  // Guards against a hold that is not known to its holder, for which nobody acts until it lapses.
  test.each(['answer-lost', {lateByMs: 10}, 'duplicate'] as const)(
    'a write that took effect without its response (%o) gives the hold of its revision',
    async (fault) => {
      const {clock, first, read} = createFleet(1);
      first.store.failWrites(fault);
      await clock.advance(200);
      expect(first.hold?.token).toBe(2 ** 40 + ((await read())?.revision.number ?? 0));
      expect((await read())?.revision.number).toBe(2);
    },
  );

  // Guards against a late write that brings back a hold which was given up.
  test('a write executed after it was given up takes no effect', async () => {
    const {clock, first, read} = createFleet(1);
    first.store.failWrites({lateByMs: 1000});
    await clock.advance(150);
    first.store.isDown = true;
    await clock.advance(1000);
    expect(await read()).toBeUndefined();
  });

  // Guards against a hold by a lease that is renewed while the key has another one and is removed with it.
  test('a key left from an earlier write of the process is written again', async () => {
    const {clock, memory, first, read} = createFleet(1);
    first.store.failWrites('request-lost', 'request-lost');
    await clock.advance(60);
    const lease = (await memory.grantLease(LEASE_MS / 1000))._unsafeUnwrap();
    const earlierWrite = JSON.stringify({instance: first.name, lifetime: first.lifetime, lease});
    await clock.advance(80);
    // The second attempt reads, grants and writes, and then reads again, which takes until the next tick.
    const callCount = first.store.callCount + 3;
    while (first.store.callCount < callCount) await clock.advance(1);
    await memory.write(LEASE_KEY, earlierWrite, {ifRevision: 0, lease});
    await clock.advance(1000);
    const {token} = first.hold ?? {};
    expect(token).toBe(2 ** 40 + ((await read())?.revision.number ?? 0));
    await clock.advance(2 * LEASE_MS);
    expect(first.hold).toEqual({token, mayAct: true});
  });

  // Guards against a hold counted from the response instead of from the call.
  test('a response that is slower than the lease gives no hold', async () => {
    const {clock, first, read} = createFleet(1);
    first.responseMs = HELD_AFTER_RENEWAL_MS;
    const seen = new Set<string>();
    for (let passedMs = 0; passedMs < 20_000; passedMs += 100) {
      await clock.advance(100);
      expect(first.hold).toBeUndefined();
      seen.add(parseLeaseHolder(await read())?.instance ?? '');
    }
    expect([...seen]).toEqual(['', first.name]);
  });

  test('a revision that does not fit a token is refused', async () => {
    expect(fencingTokenOf({era: 8191, number: 2 ** 40 - 1})).toBe(Number.MAX_SAFE_INTEGER);
    expect(fencingTokenOf({era: 8192, number: 1})).toBeUndefined();
    expect(fencingTokenOf({era: 1, number: 2 ** 40})).toBeUndefined();
    const {clock, memory, first, read} = createFleet(1);
    for (let era = memory.era; era < 8192; era += 1) memory.restore(memory.copy());
    await clock.advance(1000);
    expect(first.hold).toBeUndefined();
    expect(await read()).toBeUndefined();
  });
});

describe('loss', () => {
  test('a store that is cut off ends the hold before the lease; a short cut does not', async () => {
    const {clock, first, token} = await createActiveFleet(1);
    first.store.isDown = true;
    await clock.advance(1000);
    expect(first.hold?.token).toBe(token);
    first.store.isDown = false;
    await clock.advance(1000);
    first.store.isDown = true;
    await clock.advance(HELD_AFTER_RENEWAL_MS);
    expect(first.hold).toBeUndefined();
    expect(first.lease.remainingMs).toBe(0);
  });

  // Guards against calls of a holder that does not know that its lease lapsed while its machine was suspended.
  test('a suspension ends the hold at once; a renewal restores it if the lease did not lapse', async () => {
    const {clock, first, second, token} = await createActiveFleet();
    const seen: unknown[] = [];
    first.onResumed = () => seen.push(first.hold);
    first.pause('suspended', 200);
    await clock.advance(200);
    first.pause('suspended', 1000);
    await clock.advance(1000);
    expect(seen).toEqual([{token, mayAct: true}, undefined]);
    await clock.advance(100);
    expect(first.hold).toEqual({token, mayAct: true});
    first.pause('suspended', 10_000);
    await clock.advance(10_100);
    expect(seen[2]).toBeUndefined();
    expect(first.hold).toBeUndefined();
    expect(second.hold?.token).toBeGreaterThan(token);
  });

  // Guards against a hold by clocks that agree only because both have been wrong.
  test('a step of the wall clock in either direction suspends the hold until a renewal', async () => {
    const {clock, first, token} = await createActiveFleet(1);
    for (const stepMs of [-5000, 5000]) {
      first.wallErrorMs += stepMs;
      expect(first.hold).toBeUndefined();
      await clock.advance(100);
      expect(first.hold).toEqual({token, mayAct: true});
    }
  });

  test('after a kill, another one holds the lease when it has lapsed', async () => {
    const {clock, first, second} = await createActiveFleet();
    first.stop('killed');
    await clock.advance(LEASE_MS - 1200);
    expect(second.hold).toBeUndefined();
    await clock.advance(1700);
    expect(second.hold?.mayAct).toBe(false);
  });

  test('a planned stop hands the lease over at once, also during the write', async () => {
    const {clock, first, second, read} = await createActiveFleet();
    first.stop('planned');
    expect(first.hold).toBeUndefined();
    await clock.advance(500);
    expect(second.hold?.mayAct).toBe(false);
    const other = createFleet(1);
    await other.clock.advance(90);
    expect(await other.read()).toBeDefined();
    other.first.stop('planned');
    await other.clock.advance(100);
    expect(await other.read()).toBeUndefined();
    expect(parseLeaseHolder(await read())?.instance).toBe(second.name);
  });

  // Guards against a token of the lost history, which the restored store gives out again.
  test('a restore of the store ends the hold, which is acquired anew', async () => {
    const {clock, memory, first, token} = await createActiveFleet(1);
    memory.restore(memory.copy());
    await clock.advance(500);
    expect(first.hold).toEqual({token: expect.any(Number) as number, mayAct: false});
    expect(first.hold?.token).toBeGreaterThan(2 * 2 ** 40);
    expect(first.hold?.token).toBeGreaterThan(token);
  });

  test('a refusal by the duty service ends the hold of its token only', async () => {
    const {clock, first, second, token} = await createActiveFleet();
    first.lease.loseByFence(token - 1);
    expect(first.hold?.token).toBe(token);
    first.lease.loseByFence(token);
    expect(first.hold).toBeUndefined();
    await clock.advance(1000);
    expect(second.hold?.token).toBeGreaterThan(token);
    expect(second.lease.holder?.instance).toBe(second.name);
    expect(first.hold).toBeUndefined();
  });
});
