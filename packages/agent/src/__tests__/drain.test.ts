import {flushPromises, silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {MemoryKeyValue} from '@marigoldfold/standin';
import {ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {
  createCallWork,
  chunks,
  createGenerationWork,
  readAll,
  createScriptedEngine,
  createTestWorker,
} from '../__fixtures__/scriptedWork.js';
import type {EngineChunk, EngineEnd} from '../engine.js';
import {CallRunner} from '../callRunner.js';

const GRACE_MS = 2000;

/** An engine that sends its first chunk immediately and the rest after `open` is called. */
function gatedEngine() {
  let open: () => void = () => undefined;
  const gate = new Promise<void>((resolve) => {
    open = resolve;
  });
  const scripted = createScriptedEngine(async function* (): AsyncGenerator<EngineChunk, EngineEnd> {
    yield {number: 1, data: 'part 1'};
    await gate;
    return yield* chunks(2, 3, {kind: 'whole'});
  });
  return {
    ...scripted,
    open: () => {
      open();
    },
  };
}

async function trackCompletion(promise: Promise<void>): Promise<() => boolean> {
  let isDone = false;
  void promise.then(() => {
    isDone = true;
  });
  await flushPromises();
  return () => isDone;
}

describe('a draining agent', () => {
  it('announces the drain at once, accepts work during the grace period and refuses it afterwards', async () => {
    const {engine, open} = gatedEngine();
    const {worker, clock} = createTestWorker({engine, slots: 4});
    void worker.drain();
    expect(worker.load().isLeaving).toBe(true);
    expect(worker.submit(createGenerationWork('a.1')).isOk()).toBe(true);
    await clock.advance(GRACE_MS + 1);
    const refused = worker.submit(createGenerationWork('a.2'))._unsafeUnwrapErr();
    expect(refused).toMatchObject({code: 'leaving', ran: 'no'});
    open();
  });

  it('refuses queued work as not run and completes running work', async () => {
    const {engine, open} = gatedEngine();
    const {worker, clock} = createTestWorker({engine});
    const running = worker.submit(createGenerationWork('a.1'))._unsafeUnwrap();
    const queued = worker.submit(createGenerationWork('a.2'))._unsafeUnwrap();
    const events = readAll(running);
    const isDone = await trackCompletion(worker.drain());
    await clock.advance(GRACE_MS + 1);
    expect((await readAll(queued)).at(-1)).toMatchObject({failure: {code: 'leaving', ran: 'no'}});
    await clock.advance(60_000);
    expect(isDone()).toBe(false);
    open();
    await clock.advance(1000);
    expect((await events).at(-1)).toMatchObject({kind: 'end', chunks: 3});
    expect(isDone()).toBe(true);
  });

  it('waits for a disconnected reader of a finished answer', async () => {
    const {engine} = createScriptedEngine(() => chunks(1, 3, {kind: 'whole'}));
    const {worker, clock} = createTestWorker({engine});
    const answer = worker.submit(createGenerationWork('a.1'))._unsafeUnwrap();
    const broken = answer.read(0, new AbortController().signal);
    await broken.next();
    await broken.return(undefined);
    const isDone = await trackCompletion(worker.drain());
    await clock.advance(GRACE_MS + 1000);
    expect(isDone()).toBe(false);
    await readAll(answer, 1);
    await clock.advance(1000);
    expect(isDone()).toBe(true);
  });

  it('stops waiting for a reader that never connects', async () => {
    const {engine} = createScriptedEngine(() => chunks(1, 3, {kind: 'whole'}));
    const {worker, clock} = createTestWorker({engine});
    worker.submit(createGenerationWork('a.1'));
    const isDone = await trackCompletion(worker.drain());
    await clock.advance(30_000);
    expect(isDone()).toBe(true);
  });

  it('waits until the outcome of a call is recorded after its caller disconnected', async () => {
    const clock = new VirtualClock();
    const store = new MemoryKeyValue(clock);
    let answerCall: () => void = () => undefined;
    const calls = new CallRunner({
      service: async () => {
        await new Promise<void>((resolve) => {
          answerCall = resolve;
        });
        return ok({status: 201, headers: {}, body: ''});
      },
      store,
      clock,
      logger: silentLogger,
      claimRetentionMs: 86_400_000,
    });
    const {worker} = createTestWorker({calls, clock});
    worker.submit(createCallWork('a.1'));
    await flushPromises();
    worker.cancel('a.1');
    const isDone = await trackCompletion(worker.drain());
    await clock.advance(20_000);
    expect(isDone()).toBe(false);
    answerCall();
    await clock.advance(1000);
    expect(isDone()).toBe(true);
    const claims = (await store.list('claims/'))._unsafeUnwrap().entries;
    expect(claims[0]?.value).toContain('"status":201');
  });
});
