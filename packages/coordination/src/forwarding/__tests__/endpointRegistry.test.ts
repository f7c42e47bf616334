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
