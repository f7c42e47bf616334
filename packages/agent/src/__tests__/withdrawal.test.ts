import {flushPromises} from '@marigoldfold/runtime';
import {describe, expect, it} from 'vitest';
import {
  chunks,
  createGenerationWork,
  readAll,
  createScriptedEngine,
  openSilentStream,
  createTestWorker,
} from '../__fixtures__/scriptedWork.js';

const MINUTE_MS = 60_000;

function busyWorker() {
  const scripted = createScriptedEngine(({signal}) => openSilentStream(signal));
  return {...scripted, ...createTestWorker({engine: scripted.engine})};
}

describe('a withdrawal', () => {
  it('removes a waiting request, whose answer reports that it did not run', async () => {
    const {worker, connections} = busyWorker();
    worker.submit(createGenerationWork('a.1'));
    const waiting = worker.submit(createGenerationWork('a.2'))._unsafeUnwrap();
    expect(worker.withdraw('a.2')).toBe('never-started');
    const last = (await readAll(waiting)).at(-1);
    expect(last).toMatchObject({kind: 'failed', failure: {code: 'withdrawn', ran: 'no'}});
    expect(connections).toHaveLength(1);
  });

  it('that arrives before its request causes the request to be refused', () => {
    const {worker, connections} = busyWorker();
    expect(worker.withdraw('a.1')).toBe('never-started');
    const refused = worker.submit(createGenerationWork('a.1'))._unsafeUnwrapErr();
    expect(refused).toMatchObject({code: 'withdrawn', ran: 'no'});
    expect(connections).toHaveLength(0);
  });

  it('still causes the request to be refused long after answers have expired', async () => {
    const {worker, clock, connections} = busyWorker();
    worker.withdraw('a.1');
    await clock.advance(30 * MINUTE_MS);
    expect(worker.submit(createGenerationWork('a.1')).isErr()).toBe(true);
    expect(connections).toHaveLength(0);
  });

  it('never reports a request that ran as not started, even after its answer has expired', async () => {
    const {engine} = createScriptedEngine(() => chunks(1, 2, {kind: 'whole'}));
    const {worker, clock} = createTestWorker({engine});
    worker.submit(createGenerationWork('a.1'));
    await flushPromises();
    expect(worker.withdraw('a.1')).toBe('finished');
    await clock.advance(30 * MINUTE_MS);
    expect(worker.answer('a.1')).toBeUndefined();
    expect(worker.withdraw('a.1')).toBe('finished');
    const repeated = worker.submit(createGenerationWork('a.1'))._unsafeUnwrapErr();
    expect(repeated).toMatchObject({code: 'answer_incomplete', ran: 'yes'});
  });

  it('of a running request reports that it has started', () => {
    const {worker} = busyWorker();
    worker.submit(createGenerationWork('a.1'));
    expect(worker.withdraw('a.1')).toBe('started');
  });

  it('of a request that was refused while it waited reports that it never started', async () => {
    const {worker, clock} = busyWorker();
    worker.submit(createGenerationWork('a.1'));
    worker.submit(createGenerationWork('a.2'));
    void worker.drain();
    await clock.advance(5000);
    expect(worker.withdraw('a.2')).toBe('never-started');
  });
});

describe('a request', () => {
  it('that is sent twice runs once and has one answer', async () => {
    const {engine, connections} = createScriptedEngine(() => chunks(1, 3, {kind: 'whole'}));
    const {worker} = createTestWorker({engine});
    const first = worker.submit(createGenerationWork('a.1'))._unsafeUnwrap();
    const second = worker.submit(createGenerationWork('a.1'))._unsafeUnwrap();
    expect(second).toBe(first);
    await flushPromises();
    expect((await readAll(second)).filter(({kind}) => kind === 'chunk')).toHaveLength(3);
    expect(connections).toHaveLength(1);
  });

  it('that arrives after its cancellation is refused', () => {
    const {worker, connections} = busyWorker();
    expect(worker.cancel('a.1')).toBe(false);
    expect(worker.submit(createGenerationWork('a.1'))._unsafeUnwrapErr().ran).toBe('no');
    expect(connections).toHaveLength(0);
  });

  it('for an earlier incarnation is refused and not run', () => {
    const {worker, connections} = busyWorker();
    const refused = worker
      .submit(createGenerationWork('a.1', {agent: 'life-0'}))
      ._unsafeUnwrapErr();
    expect(refused).toMatchObject({code: 'stale_incarnation', ran: 'no'});
    expect(connections).toHaveLength(0);
    expect(worker.submit(createGenerationWork('a.2', {agent: 'life-1'})).isOk()).toBe(true);
  });
});
