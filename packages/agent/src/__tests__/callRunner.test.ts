import {type KeyValue, recordOutcome} from '@marigoldfold/state';
import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {
  createFaultyKeyValue,
  MemoryKeyValue,
  type StoreCall,
  type StoreFault,
} from '@marigoldfold/standin';
import {err} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {requireCall, createCallWork, createCountingService} from '../__fixtures__/scriptedWork.js';
import {CallRunner, claimSendLimitMs} from '../callRunner.js';
import type {PlainService} from '../plainService.js';

const RETENTION_MS = 24 * 3_600_000;

interface Setup {
  readonly clock: VirtualClock;
  readonly memory: MemoryKeyValue;
  readonly runner: (
    service: PlainService,
    chooseFault?: (call: StoreCall) => StoreFault,
  ) => CallRunner;
}

function setup(): Setup {
  const clock = new VirtualClock();
  const memory = new MemoryKeyValue(clock);
  return {
    clock,
    memory,
    runner(service, chooseFault) {
      const store: KeyValue =
        chooseFault === undefined
          ? memory
          : createFaultyKeyValue({clock, store: memory, chooseFault});
      return new CallRunner({
        service,
        store,
        clock,
        logger: silentLogger,
        claimRetentionMs: RETENTION_MS,
      });
    },
  };
}

async function run(runner: CallRunner, key = 'key-1', body = 'one') {
  const work = createCallWork('a.1', key, body);
  return runner.run(work, requireCall(work), new AbortController().signal);
}

describe('a call under a claim', () => {
  it('runs once per key, even when repeated at another agent', async () => {
    const {runner} = setup();
    const {service, ran} = createCountingService();
    const first = await run(runner(service));
    const second = await run(runner(service));
    expect(second._unsafeUnwrap()).toEqual(first._unsafeUnwrap());
    expect(ran).toHaveLength(1);
  });

  it('is refused when its key was used with another body', async () => {
    const {runner} = setup();
    const {service, ran} = createCountingService();
    await run(runner(service));
    const other = await run(runner(service), 'key-1', 'two');
    expect(other._unsafeUnwrapErr()).toMatchObject({code: 'idempotency_key_reused', ran: 'no'});
    expect(ran).toHaveLength(1);
  });

  it('takes two writes, a repeat takes one, and one lease serves many calls', async () => {
    const {runner, memory} = setup();
    const {service} = createCountingService();
    const agent = runner(service);
    await run(agent, 'key-0');
    const before = memory.callCount;
    await run(agent, 'key-1');
    expect(memory.callCount - before).toBe(2);
    await run(agent, 'key-1');
    expect(memory.callCount - before).toBe(3);
  });

  it('is not sent when the key-value service is down', async () => {
    const {runner} = setup();
    const {service, ran} = createCountingService();
    const refused = await run(runner(service, () => 'refused'));
    expect(refused._unsafeUnwrapErr()).toMatchObject({code: 'store_unavailable', ran: 'no'});
    expect(ran).toHaveLength(0);
  });

  it('runs once although the response to its claim was lost', async () => {
    const {runner} = setup();
    const {service, ran} = createCountingService();
    const agent = runner(service, ({number}) => (number === 1 ? 'answer-lost' : 'none'));
    expect((await run(agent)).isOk()).toBe(true);
    await run(runner(service));
    expect(ran).toHaveLength(1);
  });

  it('runs once although a delayed write of its claim takes effect later', async () => {
    const {runner, clock} = setup();
    const {service, ran} = createCountingService();
    const agent = runner(service, ({number}) => (number === 1 ? {lateByMs: 5000} : 'none'));
    const first = await run(agent);
    await clock.advance(10_000);
    const second = await run(runner(service));
    expect(second._unsafeUnwrap()).toEqual(first._unsafeUnwrap());
    expect(ran).toHaveLength(1);
  });

  it('may run after a refusal although its claim took effect later', async () => {
    const {runner, clock} = setup();
    const {service, ran} = createCountingService();
    const agent = runner(service, ({number}) => (number <= 3 ? {lateByMs: 5000} : 'none'));
    expect((await run(agent))._unsafeUnwrapErr()).toMatchObject({ran: 'no'});
    await clock.advance(10_000);
    // Only the first agent knows that it never sent the call; another agent must report an unknown outcome.
    const atOtherAgent = await run(runner(service));
    expect(atOtherAgent._unsafeUnwrapErr()).toMatchObject({
      code: 'call_outcome_unknown',
      ran: 'unknown',
    });
    expect((await run(agent)).isOk()).toBe(true);
    expect(ran).toHaveLength(1);
  });

  it('may run again when it was not sent and the release of its claim was lost', async () => {
    const {runner} = setup();
    const {service, ran} = createCountingService((count) =>
      Promise.resolve(
        count === 1
          ? err({message: 'refused', mayHaveBeenSent: false})
          : err({message: '', mayHaveBeenSent: true}),
      ),
    );
    const agent = runner(service, ({method}) => (method === 'remove' ? 'request-lost' : 'none'));
    expect((await run(agent))._unsafeUnwrapErr()).toMatchObject({ran: 'no'});
    await run(agent);
    expect(ran).toHaveLength(2);
  });

  it('has an unknown outcome for all later attempts when its response was lost', async () => {
    const {runner} = setup();
    const {service, ran} = createCountingService(() =>
      Promise.resolve(err({message: 'cut off', mayHaveBeenSent: true})),
    );
    expect((await run(runner(service)))._unsafeUnwrapErr().ran).toBe('unknown');
    expect((await run(runner(service)))._unsafeUnwrapErr()).toMatchObject({
      code: 'call_outcome_unknown',
      ran: 'unknown',
    });
    expect(ran).toHaveLength(1);
  });

  it('is not sent when creating its claim took too long', async () => {
    const {runner, clock, memory} = setup();
    const {service, ran} = createCountingService();
    const agent = runner(service, ({number}) =>
      number === 1 ? {slowByMs: claimSendLimitMs + 1} : 'none',
    );
    const running = run(agent);
    await clock.advance(claimSendLimitMs + 10);
    expect((await running)._unsafeUnwrapErr()).toMatchObject({ran: 'no'});
    expect(ran).toHaveLength(0);
    expect((await memory.list('claims/'))._unsafeUnwrap().entries).toHaveLength(0);
  });
});

describe('the outcome of a call', () => {
  it('is recorded later when the key-value service fails; repeats receive it meanwhile', async () => {
    const {runner, clock} = setup();
    const {service, ran} = createCountingService();
    let isDown = false;
    const agent = runner(
      async (...call) => {
        isDown = true;
        return service(...call);
      },
      () => (isDown ? 'refused' : 'none'),
    );
    const first = (await run(agent))._unsafeUnwrap();
    expect(agent.unrecordedCount).toBe(1);
    isDown = false;
    expect((await run(agent))._unsafeUnwrap()).toEqual(first);
    await clock.advance(2000);
    await agent.drain();
    expect((await run(runner(service)))._unsafeUnwrap()).toEqual(first);
    expect(ran).toHaveLength(1);
  });

  it('is recorded when the response to its write was lost', async () => {
    const {runner} = setup();
    const {service} = createCountingService();
    const agent = runner(service, ({number}) => (number === 3 ? 'answer-lost' : 'none'));
    const first = (await run(agent))._unsafeUnwrap();
    expect(agent.unrecordedCount).toBe(0);
    expect((await run(runner(service)))._unsafeUnwrap()).toEqual(first);
  });

  it('expires after the retention, while a claim without an outcome remains', async () => {
    const {runner, clock, memory} = setup();
    const {service} = createCountingService((count) =>
      Promise.resolve(
        count === 1
          ? err({message: 'cut off', mayHaveBeenSent: true})
          : err({message: '', mayHaveBeenSent: false}),
      ),
    );
    const recording = runner(createCountingService().service);
    await run(recording, 'recorded');
    await run(runner(service), 'pending');
    await clock.advance(RETENTION_MS - 1000);
    expect((await memory.list('claims/'))._unsafeUnwrap().entries).toHaveLength(2);
    await clock.advance(RETENTION_MS);
    const left = (await memory.list('claims/'))._unsafeUnwrap().entries;
    expect(left).toHaveLength(1);
    expect(left[0]?.value).not.toContain('outcome');
  });

  it('does not overwrite a claim that has changed or been removed meanwhile', async () => {
    const {memory} = setup();
    const key = {account: 'band', idempotencyKey: 'k'};
    const claim = {attempt: 'one', requestDigest: 'd', claimedAtMs: 0};
    const outcome = {status: 200, headers: {}, body: ''};
    await memory.write('claims/other', '{}', {ifRevision: 0});
    await recordOutcome(memory, key, {revision: {era: 1, number: 1}, claim}, outcome);
    expect((await memory.list('claims/band/'))._unsafeUnwrap().entries).toHaveLength(0);
  });
});
