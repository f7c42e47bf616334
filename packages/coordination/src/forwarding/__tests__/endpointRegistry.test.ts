import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {expect, test} from 'vitest';
import {EndpointRegistry} from '../endpointRegistry.js';

const GRACE_MS = 2000;

function createRegistry(ids: readonly string[]) {
  const clock = new VirtualClock();
  const registry = new EndpointRegistry({clock, logger: silentLogger});
  for (const id of ids) {
    registry.put({
      id,
      service: 'app',
      address: '10.0.0.1:80',
      failureDomain: 'a',
      slots: 8,
      isLeaving: false,
      startedAtMs: 1,
    });
  }
  return {clock, registry};
}

test('a record that lapsed in an outage is removed at the end of the grace period', async () => {
  const {clock, registry} = createRegistry(['a']);
  registry.startGracePeriod();
  registry.remove('a');
  await clock.advance(GRACE_MS - 1);
  expect(registry.find('a')).toBeDefined();
  await clock.advance(1);
  expect(registry.find('a')).toBeUndefined();
});

test('a record that lapsed in a second outage keeps its whole grace period', async () => {
  const {clock, registry} = createRegistry(['a', 'b']);
  registry.startGracePeriod();
  registry.remove('a');
  await clock.advance(GRACE_MS - 500);
  registry.startGracePeriod();
  registry.remove('b');
  await clock.advance(GRACE_MS - 1);
  expect(registry.find('b')).toBeDefined();
  await clock.advance(1);
  expect(registry.find('b')).toBeUndefined();
  expect(registry.find('a')).toBeUndefined();
});

// Guards against requests to an endpoint that has left, which each new outage kept in use for another grace period.
test('a record that lapsed in an outage is not kept longer by the outages that follow', async () => {
  const {clock, registry} = createRegistry(['a']);
  registry.startGracePeriod();
  registry.remove('a');
  for (let passedMs = 0; passedMs < GRACE_MS; passedMs += GRACE_MS / 4) {
    expect(registry.find('a')).toBeDefined();
    await clock.advance(GRACE_MS / 4);
    registry.startGracePeriod();
  }
  expect(registry.find('a')).toBeUndefined();
});

test('a record that is registered again after it lapsed stays', async () => {
  const {clock, registry} = createRegistry(['a']);
  const {record} = registry.find('a')!;
  registry.startGracePeriod();
  registry.remove('a');
  await clock.advance(GRACE_MS / 2);
  registry.put(record);
  await clock.advance(GRACE_MS);
  expect(registry.find('a')).toBeDefined();
});

test('a record of a restored copy replaces only what is not known to be newer', () => {
  const {registry} = createRegistry(['a', 'b', 'c', 'd']);
  const recordOf = (id: string) => registry.find(id)!.record;
  const copies = ['a', 'b', 'c', 'd'].map(recordOf);
  registry.put({...recordOf('a'), isLeaving: true});
  registry.put({...recordOf('b'), startedAtMs: 2});
  registry.remove('c');
  for (const copy of copies) registry.putCopy({...copy, slots: 9});
  expect(registry.usable('app').map(({record}) => record.id)).toEqual(['b', 'd']);
  expect(recordOf('b')).toMatchObject({startedAtMs: 2, slots: 8});
  expect(recordOf('d').slots).toBe(9);
  registry.put({...copies[2]!, slots: 9});
  registry.putCopy({...copies[0]!, startedAtMs: 3});
  expect(registry.usable('app').map(({record}) => record.id)).toEqual(['a', 'b', 'd', 'c']);
});

// Guards against requests to an endpoint that has said that it is leaving, after a late write brings its record back.
test('what an endpoint has said holds when a record of its lifetime comes back', () => {
  const {registry} = createRegistry(['a', 'b', 'c']);
  const find = (id: string) => registry.find(id)!;
  const records = ['a', 'b', 'c'].map((id) => find(id).record);
  registry.announceLeaving(find('a'));
  registry.pause(find('b'), 5000);
  registry.recordLimit(find('c'), {perSecond: 2, sentAtMs: 0, receivedAtMs: 1});
  for (const id of ['a', 'b', 'c']) registry.remove(id);
  for (const record of records) registry.put(record);
  expect(find('a').isLeaving).toBe(true);
  expect(find('b').pausedForMs).toBe(5000);
  expect(find('c').limitPerSecond).toBe(2);
});

test('a record that says that an endpoint is leaving holds against an older one', () => {
  const {registry} = createRegistry(['a']);
  const {record} = registry.find('a')!;
  registry.put({...record, isLeaving: true});
  registry.put(record);
  expect(registry.usable('app')).toEqual([]);
  registry.remove('a');
  registry.put(record);
  expect(registry.usable('app')).toEqual([]);
});

test('what is known of a lifetime holds after records of another one', () => {
  const {registry} = createRegistry(['a']);
  const {record} = registry.find('a')!;
  const restarted = {...record, startedAtMs: 2};
  registry.put(restarted);
  registry.announceLeaving(registry.find('a')!);
  registry.put(record);
  expect(registry.find('a')!.isLeaving).toBe(false);
  registry.put(restarted);
  expect(registry.find('a')!.isLeaving).toBe(true);
});

test('a new lifetime begins without what the earlier one has said', () => {
  const {registry} = createRegistry(['a']);
  const {record} = registry.find('a')!;
  registry.announceLeaving(registry.find('a')!);
  registry.remove('a');
  registry.put({...record, startedAtMs: 2});
  expect(registry.usable('app')).toHaveLength(1);
});

test('the lifetimes that are remembered are limited, the latest ones last', () => {
  const {registry} = createRegistry(['first', 'last']);
  const [first, last] = [registry.find('first')!, registry.find('last')!];
  registry.announceLeaving(first);
  registry.remove('first');
  for (let number = 0; number < 1000; number += 1) {
    const record = {...first.record, id: `other-${number}`};
    registry.put(record);
    if (number === 500) {
      registry.announceLeaving(last);
      registry.remove('last');
    }
    registry.remove(record.id);
  }
  registry.put(first.record);
  registry.put(last.record);
  expect(registry.find('first')!.isLeaving).toBe(false);
  expect(registry.find('last')!.isLeaving).toBe(true);
});
