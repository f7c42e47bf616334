import {describe, expect, test} from 'vitest';
import {ANSWER_MS, type Behavior, PacedFleet, SLOTS, warm} from '../__fixtures__/pacedFleet.js';

const INSTANCES = 6;
const WARM_UP_MS = 3000;
const WARM_UP_SLOWNESS = 1.6;
/** Requests per second for each endpoint: about 19 in flight at each of them. */
const RATE = 50;
const INITIAL_WINDOW = SLOTS / 16;
/**
 * Requests that may be in flight beyond a window: until its report arrives, each instance may have sent one that the
 * others do not know.
 */
const UNKNOWN = INSTANCES - 1;
/** Answers that an endpoint at its initial window can give in a time: each takes at least its time to answer. */
const maxAnswers = (timeMs: number) =>
  Math.ceil((INITIAL_WINDOW * timeMs) / (ANSWER_MS * WARM_UP_SLOWNESS)) + UNKNOWN;

const warmIds = (count: number) => Array.from({length: count}, (_, index) => `w${index}`);

function warmingUp(fleet: PacedFleet): () => Behavior {
  const endMs = fleet.clock.now() + WARM_UP_MS;
  return () => (fleet.clock.now() < endMs ? {...warm, slowness: WARM_UP_SLOWNESS} : warm);
}

describe('an endpoint that is slow after its start', () => {
  test('answers few requests late, and has its share soon after it is warm', async () => {
    const fleet = new PacedFleet(INSTANCES, warmIds(9));
    await fleet.run(10 * RATE, 1000);
    fleet.add('new', warmingUp(fleet));
    await fleet.run(10 * RATE, WARM_UP_MS);
    expect(fleet.countsOf('new').late).toBeLessThanOrEqual(maxAnswers(WARM_UP_MS));
    expect(fleet.countsOf('new').sent).toBeGreaterThan(0);
    await fleet.run(10 * RATE, 10_000);
    const before = fleet.countsOf('new').sent;
    await fleet.run(10 * RATE, 2000);
    expect(fleet.countsOf('new').sent - before).toBeGreaterThan(0.8 * RATE * 2);
    expect(fleet.endpointOf('new').pace).toBeUndefined();
  });

  test('is not flooded among ten that start at once', async () => {
    const fleet = new PacedFleet(INSTANCES, warmIds(10));
    await fleet.run(20 * RATE * 0.6, 1000);
    const ids = Array.from({length: 10}, (_, index) => `n${index}`);
    for (const id of ids) fleet.add(id, warmingUp(fleet));
    await fleet.run(20 * RATE * 0.6, WARM_UP_MS);
    for (const id of ids)
      expect(fleet.countsOf(id).late).toBeLessThanOrEqual(maxAnswers(WARM_UP_MS));
    await fleet.run(20 * RATE * 0.6, 11_000);
    for (const id of ids) expect(fleet.endpointOf(id).pace).toBeUndefined();
  });
});

describe('an endpoint that crashes', () => {
  test('is not flooded when it returns, and has its share within seconds', async () => {
    const fleet = new PacedFleet(INSTANCES, warmIds(9));
    let behavior = () => warm;
    fleet.add('c', () => behavior());
    await fleet.run(10 * RATE, 12_000);
    behavior = () => ({...warm, isReachable: false});
    fleet.breakOff('c');
    await fleet.run(10 * RATE, 2000);
    behavior = warmingUp(fleet);
    const {late} = fleet.countsOf('c');
    await fleet.run(10 * RATE, WARM_UP_MS);
    expect(fleet.countsOf('c').late - late).toBeLessThanOrEqual(maxAnswers(WARM_UP_MS));
    await fleet.run(10 * RATE, 12_000);
    const before = fleet.countsOf('c').sent;
    await fleet.run(10 * RATE, 2000);
    expect(fleet.countsOf('c').sent - before).toBeGreaterThan(0.8 * RATE * 2);
  });

  test('every 1.1 s starts at its initial window each time', async () => {
    const fleet = new PacedFleet(INSTANCES, warmIds(9));
    let behavior = () => warm;
    fleet.add('f', () => behavior());
    await fleet.run(10 * RATE, 1000);
    for (let count = 0; count < 5; count += 1) {
      behavior = () => ({...warm, isReachable: false});
      await fleet.run(10 * RATE, 1100);
      behavior = warmingUp(fleet);
      const {late, failed} = fleet.countsOf('f');
      await fleet.run(10 * RATE, 1100);
      expect(fleet.countsOf('f').late - late).toBeLessThanOrEqual(maxAnswers(1100));
      behavior = () => ({...warm, isReachable: false});
      fleet.breakOff('f');
      await fleet.run(10 * RATE, 200);
      expect(fleet.countsOf('f').failed - failed).toBeLessThanOrEqual(INITIAL_WINDOW + UNKNOWN);
    }
  });
});

test('an endpoint that is ready but fails everything gets few requests at a time', async () => {
  const fleet = new PacedFleet(INSTANCES, warmIds(9));
  await fleet.run(10 * RATE, 1000);
  fleet.add('bad', () => ({...warm, isFailing: true, slowness: 4}));
  await fleet.run(10 * RATE, 5000);
  const {maxInFlight} = fleet.countsOf('bad');
  expect(maxInFlight).toBeGreaterThan(0);
  expect(maxInFlight).toBeLessThanOrEqual(INITIAL_WINDOW + UNKNOWN);
});

test('the replacement of half of the endpoints, two at a time, makes few answers late', async () => {
  const fleet = new PacedFleet(INSTANCES, warmIds(12));
  await fleet.run(12 * RATE, 1000);
  for (let count = 0; count < 6; count += 2) {
    for (const index of [count, count + 1]) {
      fleet.remove(`w${index}`);
      fleet.add(`n${index}`, warmingUp(fleet));
    }
    await fleet.run(12 * RATE, 6000);
  }
  for (let index = 0; index < 6; index += 1)
    expect(fleet.countsOf(`n${index}`).late).toBeLessThanOrEqual(maxAnswers(WARM_UP_MS));
  await fleet.run(12 * RATE, 8000);
  for (let index = 0; index < 6; index += 1)
    expect(fleet.endpointOf(`n${index}`).pace).toBeUndefined();
});
