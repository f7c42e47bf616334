import {VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, it} from 'vitest';
import {
  type SchedulingDirective,
  type QueueItem,
  WorkQueue,
  type WorkQueueOptions,
} from '../index.js';

const MINUTE_MS = 60_000;

function createQueue(options: Partial<WorkQueueOptions> = {}) {
  const clock = new VirtualClock();
  const queue = new WorkQueue({clock, slots: 2, capacity: 10, canPause: true, ...options});
  return {clock, queue};
}

function item(id: string, tier: number, more: Partial<QueueItem> = {}): QueueItem {
  return {id, tier, dueAtMs: MINUTE_MS, ...more};
}

function describeDirectives(directives: readonly SchedulingDirective[]): readonly string[] {
  return directives.map((directive) =>
    directive.kind === 'preempt'
      ? `preempt ${directive.id} for ${directive.for}`
      : `${directive.kind} ${directive.id}`,
  );
}

/** Advances the clock in one step, with no other timer due. */
function advanceClock(clock: VirtualClock, durationMs: number): void {
  clock.schedule(durationMs, () => undefined);
  clock.step();
}

function offerAll(queue: WorkQueue, items: readonly QueueItem[]): void {
  for (const request of items) expect(queue.offer(request).isOk()).toBe(true);
}

function generate(queue: WorkQueue, id: string, tokens: number): void {
  for (let number = 0; number < tokens; number += 1) queue.observeToken(id);
}

describe('WorkQueue', () => {
  it('starts by tier, then by deadline, then by arrival', () => {
    const {queue} = createQueue({slots: 4});
    offerAll(queue, [
      item('late', 3, {dueAtMs: 50_000}),
      item('first', 3, {dueAtMs: 20_000}),
      item('second', 3, {dueAtMs: 20_000}),
      item('top', 2),
      item('bottom', 6),
    ]);
    expect(describeDirectives(queue.next())).toEqual([
      'start top',
      'start first',
      'start second',
      'start late',
    ]);
  });

  it('pauses the lowest tier for urgent work and resumes it afterwards', () => {
    const {queue} = createQueue();
    offerAll(queue, [item('a', 3), item('b', 6)]);
    queue.next();
    offerAll(queue, [item('urgent', 0)]);
    expect(describeDirectives(queue.next())).toEqual(['preempt b for urgent']);
    expect(describeDirectives(queue.next())).toEqual([]);
    queue.requeue('b');
    expect(describeDirectives(queue.next())).toEqual(['start urgent']);
    queue.finish('urgent');
    expect(describeDirectives(queue.next())).toEqual(['start b']);
  });

  it('preempts for non-urgent work only when its deadline is at risk', () => {
    const {clock, queue} = createQueue();
    offerAll(queue, [item('a', 5), item('b', 5)]);
    queue.next();
    offerAll(queue, [item('interactive', 2, {dueAtMs: 3000})]);
    expect(queue.next()).toEqual([]);
    advanceClock(clock, 2900);
    expect(describeDirectives(queue.next())).toEqual(['preempt a for interactive']);
  });

  it('preempts one request per waiting urgent request', () => {
    const {queue} = createQueue({slots: 3});
    offerAll(queue, [item('a', 5), item('b', 5), item('c', 5)]);
    queue.next();
    offerAll(queue, [item('x', 0), item('y', 1)]);
    expect(queue.next()).toHaveLength(2);
  });

  it('preempts a request at its preemption limit only for urgent work', () => {
    const {clock, queue} = createQueue({slots: 1, tuning: {maxPreemptions: 1}});
    offerAll(queue, [item('bulk', 6)]);
    queue.next();
    offerAll(queue, [item('urgent', 0)]);
    queue.next();
    queue.requeue('bulk');
    queue.next();
    queue.finish('urgent');
    expect(describeDirectives(queue.next())).toEqual(['start bulk']);
    offerAll(queue, [item('standard', 3, {dueAtMs: 1500})]);
    advanceClock(clock, 1400);
    expect(queue.next()).toEqual([]);
    offerAll(queue, [item('urgent-2', 1)]);
    expect(describeDirectives(queue.next())).toEqual(['preempt bulk for urgent-2']);
  });

  it('preempts again when a pause has not taken effect', () => {
    const {clock, queue} = createQueue({slots: 1});
    offerAll(queue, [item('bulk', 6)]);
    queue.next();
    offerAll(queue, [item('urgent', 0)]);
    expect(queue.next()).toHaveLength(1);
    advanceClock(clock, 2500);
    expect(describeDirectives(queue.next())).toEqual(['preempt bulk for urgent']);
  });

  it('never preempts at an endpoint that cannot pause', () => {
    const {queue} = createQueue({canPause: false});
    offerAll(queue, [item('a', 6), item('b', 6), item('urgent', 0)]);
    expect(describeDirectives(queue.next())).toEqual(['start urgent', 'start a']);
    offerAll(queue, [item('urgent-2', 0)]);
    expect(queue.next()).toEqual([]);
  });

  it('preempts long work for short work of the same class', () => {
    const {queue} = createQueue({tuning: {longWorkShare: 0.5}});
    const typical = {typicalOutputTokens: 10};
    offerAll(queue, [item('long-1', 4, typical), item('long-2', 4, typical)]);
    queue.next();
    generate(queue, 'long-1', 30);
    generate(queue, 'long-2', 90);
    offerAll(queue, [item('short', 4, typical)]);
    expect(describeDirectives(queue.next())).toEqual(['preempt long-2 for short']);
    queue.requeue('long-2');
    expect(describeDirectives(queue.next())).toEqual(['start short']);
    queue.finish('short');
    expect(describeDirectives(queue.next())).toEqual(['start long-2']);
  });

  it('sheds from the lowest tier when it is full, never for a request of the same tier', () => {
    const {queue} = createQueue({slots: 1, capacity: 2});
    offerAll(queue, [item('running', 4)]);
    queue.next();
    offerAll(queue, [item('bulk', 6), item('standard', 4)]);
    expect(queue.offer(item('more-bulk', 6))._unsafeUnwrapErr().code).toBe('overloaded');
    offerAll(queue, [item('better', 3)]);
    const [first] = queue.next();
    expect(first).toMatchObject({kind: 'shed', id: 'bulk'});
    if (first?.kind !== 'shed') return;
    expect(first.failure.ran).toBe('no');
    expect(first.failure.retryAfterMs).toBeGreaterThan(0);
  });

  it('refuses a request that would miss its deadline, with a retry delay', () => {
    const {clock, queue} = createQueue({slots: 1, canPause: false});
    offerAll(queue, [item('a', 2)]);
    queue.next();
    advanceClock(clock, 4000);
    queue.finish('a');
    offerAll(queue, [item('b', 2)]);
    queue.next();
    offerAll(queue, [item('c', 1)]);
    const failure = queue.offer(item('d', 2, {dueAtMs: 7000}))._unsafeUnwrapErr();
    // Two requests of about 4 s each run first, but the deadline of the new request is in 3 s.
    expect(failure).toMatchObject({code: 'target_unreachable', ran: 'no', retryAfterMs: 5000});
    expect(queue.offer(item('e', 2, {dueAtMs: 20_000})).isOk()).toBe(true);
  });

  it('admits urgent work while a lower tier runs, and refuses it afterwards', () => {
    const {queue} = createQueue({slots: 1, capacity: 1});
    offerAll(queue, [item('bulk', 6)]);
    queue.next();
    offerAll(queue, [item('u1', 0, {dueAtMs: 10}), item('u2', 0, {dueAtMs: 10})]);
    queue.next();
    queue.requeue('bulk');
    queue.next();
    const refused = queue.offer(item('u3', 1, {dueAtMs: 10}))._unsafeUnwrapErr();
    expect(refused).toMatchObject({code: 'target_unreachable', ran: 'no'});
  });

  it('gives a tier its guaranteed share under constant load of a higher tier', () => {
    const shares = [0, 0, 0, 0, 0, 0, 0.25];
    const {clock, queue} = createQueue({slots: 4, guaranteedShares: () => shares});
    let sequence = 0;
    const served = {standard: 0, bulk: 0};
    const running = new Set<string>();
    const fill = (name: 'standard' | 'bulk', tier: number) => {
      sequence += 1;
      offerAll(queue, [item(`${name}.${sequence}`, tier, {dueAtMs: 3_600_000})]);
    };
    for (let index = 0; index < 4; index += 1) fill('standard', 3);
    fill('bulk', 6);
    for (let turn = 0; turn < 200; turn += 1) {
      for (const directive of queue.next()) running.add(directive.id);
      advanceClock(clock, 250);
      const [oldest] = running;
      if (oldest === undefined) break;
      running.delete(oldest);
      queue.finish(oldest);
      const name = oldest.startsWith('bulk') ? 'bulk' : 'standard';
      served[name] += 1;
      fill(name, name === 'bulk' ? 6 : 3);
    }
    const share = served.bulk / (served.bulk + served.standard);
    expect(share).toBeGreaterThan(0.22);
    expect(share).toBeLessThan(0.32);
  });

  it('shrinks the window above the inter-token target and grows it below', () => {
    const {clock, queue} = createQueue({slots: 16, capacity: 16});
    const items = Array.from({length: 16}, (_, index) =>
      item(`r${index}`, 2, {interTokenTargetMs: 26}),
    );
    offerAll(queue, items);
    queue.next();
    const run = (gapMs: number, steps: number) => {
      for (let step = 0; step < steps; step += 1) {
        advanceClock(clock, gapMs);
        for (const {id} of items) queue.observeToken(id);
      }
    };
    run(40, 30);
    const shrunk = queue.load().window;
    expect(shrunk).toBeLessThan(12);
    expect(queue.load().interTokenMs).toBe(40);
    run(15, 200);
    expect(queue.load().window).toBe(16);
    run(200, 200);
    expect(queue.load().window).toBe(4);
  });

  it('reports no wait where urgent work can preempt at once', () => {
    const {queue} = createQueue();
    offerAll(queue, [item('a', 5), item('b', 5), item('c', 5)]);
    queue.next();
    const {waitMs, running, queued} = queue.load();
    expect(waitMs[0]).toBe(0);
    expect(waitMs[5]).toBeGreaterThan(0);
    expect(running[5]).toBe(2);
    expect(queued[5]).toBe(1);
  });
});
