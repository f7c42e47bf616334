import {seededRandom, silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {createFaultyKeyValue, MemoryKeyValue, type StoreFault} from '@marigoldfold/standin';
import type {KeyValue, KeyValueEntry} from '@marigoldfold/state';
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import {describe, expect, test} from 'vitest';
import {RangeMirror} from '../rangeMirror.js';

function createMirror() {
  const clock = new VirtualClock(1000);
  const memory = new MemoryKeyValue(clock);
  const faults: StoreFault[] = [];
  let isDown = false;
  const faulty = createFaultyKeyValue({
    clock,
    store: memory,
    chooseFault: () => (isDown ? 'refused' : (faults.shift() ?? 'none')),
  });
  let isHistoryLost = false;
  const store: Pick<KeyValue, 'list' | 'watch'> = {
    list: (prefix) => faulty.list(prefix),
    async watch(prefix, options) {
      const changes = await faulty.watch(prefix, options);
      if (!isHistoryLost) return changes;
      isHistoryLost = false;
      return err({code: 'history_lost', message: 'compacted', mayHaveTakenEffect: false});
    },
  };
  const contents = new Map<string, string>();
  const events: string[] = [];
  let wallOffsetMs = 0;
  const mirror = new RangeMirror({
    clock,
    wallTimeMs: () => clock.now() + wallOffsetMs,
    random: seededRandom(1),
    logger: silentLogger,
    store,
    prefix: 'a/',
    watchMs: 1000,
    maxAgeMs: 3550,
    batchMs: 100,
    onChange: (changes: readonly KeyValueEntry[]) => {
      events.push('change');
      for (const {key, value} of changes) {
        if (value === '') contents.delete(key);
        else contents.set(key, value);
      }
    },
    onReconnected: () => events.push('regained'),
  });
  const put = async (key: string, value: string) => {
    const current = (await memory.get(key))._unsafeUnwrap();
    await memory.write(key, value, {ifRevision: current?.revision ?? 0});
  };
  const remove = async (key: string) => {
    const current = (await memory.get(key))._unsafeUnwrap();
    await memory.remove(key, current?.revision ?? 0);
  };
  return {
    clock,
    mirror,
    contents,
    events,
    put,
    remove,
    setDown: (value: boolean) => (isDown = value),
    /** Advances the wall clock only, as a suspension of the machine or a step of its clock does. */
    stepWallClock: (ms: number) => (wallOffsetMs += ms),
    loseHistory: () => (isHistoryLost = true),
    /** Makes the next calls fail. */
    injectFaults: (...next: readonly StoreFault[]) => faults.push(...next),
  };
}

describe('the copy of a range', () => {
  test('follows changes and removals below its prefix', async () => {
    const {clock, contents, put, remove} = createMirror();
    await put('a/1', 'x');
    await clock.advance(200);
    await put('a/2', 'y');
    await put('b/1', 'z');
    await remove('a/1');
    await clock.advance(500);
    expect(Object.fromEntries(contents)).toEqual({'a/2': 'y'});
  });

  test('has an age measured from the start of the call that confirmed it', async () => {
    const {clock, mirror} = createMirror();
    expect(mirror.ageMs).toBe(Number.POSITIVE_INFINITY);
    await clock.advance(900);
    expect(mirror.ageMs).toBe(900);
    await clock.advance(200);
    // The watch of one second started at once and has just completed.
    expect(mirror.ageMs).toBe(1100);
    await clock.advance(1000);
    expect(mirror.ageMs).toBe(1100);
  });

  test('ages while the service is unavailable, and is confirmed when the service responds again', async () => {
    const {clock, mirror, setDown, events} = createMirror();
    await clock.advance(500);
    setDown(true);
    await clock.advance(5000);
    expect(mirror.ageMs).toBeGreaterThan(4000);
    setDown(false);
    await clock.advance(1000);
    expect(mirror.ageMs).toBeLessThan(2000);
    expect(events).toEqual(['regained']);
  });

  test('reports the reconnection before the changes of the first response', async () => {
    const {clock, setDown, events, put} = createMirror();
    await clock.advance(100);
    setDown(true);
    await clock.advance(3000);
    await put('a/1', 'x');
    setDown(false);
    await clock.advance(1000);
    expect(events).toEqual(['regained', 'change']);
  });

  // Guards against a grace period for removed endpoints each time that the service closes a watch that waits.
  test('reports no reconnection after a single call that was cut off', async () => {
    const {clock, contents, events, put, injectFaults} = createMirror();
    await clock.advance(100);
    for (let cuts = 0; cuts < 3; cuts += 1) {
      injectFaults('refused');
      await clock.advance(1500);
    }
    await put('a/1', 'x');
    await clock.advance(500);
    expect(events).toEqual(['change']);
    expect(contents.get('a/1')).toBe('x');
  });

  test.each<readonly StoreFault[]>([['refused', 'refused'], ['request-lost']])(
    'reports the reconnection after %s %s',
    async (...faults) => {
      const {clock, events, injectFaults} = createMirror();
      await clock.advance(100);
      injectFaults(...faults);
      await clock.advance(5000);
      expect(events).toEqual(['regained']);
    },
  );

  test('reads the range again when the history is lost, and detects keys removed in the meantime', async () => {
    const {clock, contents, put, remove, loseHistory} = createMirror();
    await put('a/1', 'x');
    await put('a/2', 'y');
    await clock.advance(200);
    expect([...contents.keys()]).toEqual(['a/1', 'a/2']);
    loseHistory();
    await remove('a/1');
    await clock.advance(2500);
    expect([...contents.keys()]).toEqual(['a/2']);
  });

  test('is not believed younger after the machine was suspended', async () => {
    const {clock, mirror, stepWallClock, contents, put} = createMirror();
    await clock.advance(500);
    stepWallClock(6000);
    await put('a/1', 'x');
    expect(mirror.ageMs).toBeGreaterThanOrEqual(6000);
    await clock.advance(150);
    expect(contents.get('a/1')).toBe('x');
    await clock.advance(20);
    expect(mirror.ageMs).toBeLessThan(200);
  });

  test('is confirmed soon after a suspension in which nothing changed', async () => {
    const {clock, mirror, stepWallClock} = createMirror();
    await clock.advance(500);
    stepWallClock(6000);
    expect(mirror.ageMs).toBe(6500);
    await clock.advance(20);
    expect(mirror.ageMs).toBeLessThan(50);
  });

  test('ages by the monotonic clock when the wall clock is set back', async () => {
    const {clock, mirror, setDown, stepWallClock} = createMirror();
    await clock.advance(500);
    setDown(true);
    stepWallClock(-60_000);
    await clock.advance(4000);
    expect(mirror.ageMs).toBe(4500);
  });

  test('stays old after a suspension for as long as the service does not respond', async () => {
    const {clock, mirror, setDown, stepWallClock} = createMirror();
    await clock.advance(500);
    setDown(true);
    stepWallClock(6000);
    expect(mirror.ageMs).toBeGreaterThanOrEqual(6000);
    await clock.advance(1000);
    expect(mirror.ageMs).toBeGreaterThanOrEqual(7000);
  });
});

/** A store whose watches end after their timeout or at a change, and whose responses take `responseMs`. */
function createTimedStore(clock: VirtualClock, responseMs: () => number, statesQuiet: boolean) {
  const changeTimesMs: number[] = [];
  let calls = 0;
  const wait = (ms: number) =>
    new Promise<void>((resolve) =>
      clock.schedule(ms, () => {
        resolve();
      }),
    );
  const store: Pick<KeyValue, 'list' | 'watch'> = {
    async list() {
      await wait(responseMs());
      return ok({entries: [], revision: {era: 1, number: 1}});
    },
    async watch(_prefix, {timeoutMs, afterRevision}) {
      calls += 1;
      const startedAtMs = clock.now();
      const changeAtMs = changeTimesMs.find((atMs) => atMs >= startedAtMs);
      const isChanged = changeAtMs !== undefined && changeAtMs < startedAtMs + timeoutMs;
      await wait((isChanged ? changeAtMs - startedAtMs : timeoutMs) + responseMs());
      const revision = {era: 1, number: afterRevision.number + 1};
      if (isChanged) return ok({entries: [{key: 'a/1', value: 'x', revision}], revision});
      return ok({entries: [], revision, ...(statesQuiet ? {quietMs: timeoutMs} : {})});
    },
  };
  return {store, changeTimesMs, calls: () => calls};
}

/** A mirror whose keys are accepted up to an age of 3,750 ms, with a store that may take 200 ms to respond. */
function mirrorOf(
  clock: VirtualClock,
  store: Pick<KeyValue, 'list' | 'watch'>,
  watchMs: number,
): RangeMirror {
  return new RangeMirror({
    clock,
    wallTimeMs: () => clock.now(),
    random: seededRandom(1),
    logger: silentLogger,
    store,
    prefix: '',
    watchMs,
    maxAgeMs: 3550,
    batchMs: 600,
    onChange: () => undefined,
  });
}

describe('the watches of a copy', () => {
  // The 200 ms that a store may take, less two steps of the clock.
  const responses = fc.array(fc.integer({min: 0, max: 190}), {minLength: 1, maxLength: 20});
  const gaps = fc.array(fc.integer({min: 1, max: 5000}), {maxLength: 40});

  test.each([true, false])(
    'keep its age below the limit for any changes and response times, quiet stated: %s',
    async (statesQuiet) => {
      await fc.assert(
        fc.asyncProperty(responses, gaps, async (responseTimes, changeGaps) => {
          const clock = new VirtualClock();
          let call = 0;
          const timed = createTimedStore(
            clock,
            () => responseTimes[call++ % responseTimes.length] ?? 0,
            statesQuiet,
          );
          let changeAtMs = 0;
          for (const gap of changeGaps) timed.changeTimesMs.push((changeAtMs += gap));
          using mirror = mirrorOf(clock, timed.store, 2400);
          await clock.advance(300);
          for (let step = 0; step < 2000; step += 1) {
            await clock.advance(5);
            expect(mirror.ageMs).toBeLessThanOrEqual(3750);
          }
        }),
        {seed: 5, numRuns: 15},
      );
    },
  );

  test('are few while nothing changes, and confirm the copy as of their end', async () => {
    const clock = new VirtualClock();
    const timed = createTimedStore(clock, () => 4, true);
    using mirror = mirrorOf(clock, timed.store, 2400);
    await clock.advance(24_200);
    expect(timed.calls()).toBeLessThanOrEqual(11);
    expect(mirror.ageMs).toBeLessThan(2400);
  });

  test('that end sooner than they were asked to confirm the copy as of their start only', async () => {
    const clock = new VirtualClock();
    const timed = createTimedStore(clock, () => 0, true);
    let isCut = false;
    const store: Pick<KeyValue, 'list' | 'watch'> = {
      list: (prefix, options) => timed.store.list(prefix, options),
      watch: async (prefix, options) => {
        const timeoutMs = isCut ? options.timeoutMs / 4 : options.timeoutMs;
        const changes = await timed.store.watch(prefix, {...options, timeoutMs});
        return changes.map((listing) => ({...listing, quietMs: options.timeoutMs}));
      },
    };
    using mirror = mirrorOf(clock, store, 2000);
    isCut = true;
    await clock.advance(501);
    expect(mirror.ageMs).toBe(501);
  });
});
