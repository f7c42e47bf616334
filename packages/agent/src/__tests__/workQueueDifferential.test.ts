import {VirtualClock} from '@marigoldfold/runtime';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ReferenceQueue} from '../__fixtures__/referenceQueue.js';
import {type SchedulingDirective, WorkQueue} from '../index.js';

const SLOTS = 3;
const CAPACITY = 4;
const URGENT_TIERS = 2;
/** Large enough that no deadline is at risk. */
const FAR_MS = 1_000_000_000;

const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('offer' as const),
      tier: fc.integer({min: 0, max: 6}),
      due: fc.integer({min: 0, max: 3}),
    }),
  },
  {weight: 3, arbitrary: fc.record({kind: fc.constant('finish' as const), pick: fc.nat(20)})},
  {weight: 3, arbitrary: fc.record({kind: fc.constant('settle' as const)})},
  {weight: 3, arbitrary: fc.record({kind: fc.constant('token' as const), pick: fc.nat(20)})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('remove' as const), pick: fc.nat(20)})},
  {weight: 2, arbitrary: fc.record({kind: fc.constant('pass' as const)})},
);

function describeDirective(directive: SchedulingDirective): string {
  return directive.kind === 'preempt'
    ? `preempt ${directive.id} for ${directive.for}`
    : `${directive.kind} ${directive.id}`;
}

describe('WorkQueue against the reference model', () => {
  it.each([true, false])('makes the same decisions (canPause: %s)', (canPause) => {
    fc.assert(
      fc.property(fc.array(step, {minLength: 60, maxLength: 120}), (steps) => {
        const clock = new VirtualClock();
        const queue = new WorkQueue({
          clock,
          slots: SLOTS,
          capacity: CAPACITY,
          canPause,
          tuning: {adaptsWindow: false, maxPauseMs: FAR_MS, urgentTierCount: URGENT_TIERS},
        });
        const reference = new ReferenceQueue(SLOTS, CAPACITY, canPause ? URGENT_TIERS : 0, () =>
          clock.now(),
        );
        const stopping = new Set<string>();
        const pendingSheds: string[] = [];
        let sequence = 0;
        const compare = () => {
          const directives = queue.next().map(describeDirective);
          expect(directives).toEqual([...pendingSheds.splice(0), ...reference.next()]);
          for (const text of directives) {
            const [kind, id] = text.split(' ');
            if (kind === 'preempt' && id !== undefined) stopping.add(id);
          }
        };
        for (const current of steps) {
          switch (current.kind) {
            case 'offer': {
              sequence += 1;
              const item = {id: `r${sequence}`, tier: current.tier, dueAtMs: FAR_MS + current.due};
              const outcome = reference.offer(item);
              expect(queue.offer(item).isOk()).toBe(outcome !== 'refused');
              if (outcome.startsWith('shed')) pendingSheds.push(outcome);
              break;
            }
            case 'finish': {
              const running =
                reference.running[current.pick % Math.max(1, reference.running.length)];
              if (running === undefined) break;
              queue.finish(running.item.id);
              reference.finish(running.item.id);
              stopping.delete(running.item.id);
              break;
            }
            case 'token': {
              const running =
                reference.running[current.pick % Math.max(1, reference.running.length)];
              if (running === undefined) break;
              queue.observeToken(running.item.id);
              reference.generate(running.item.id);
              break;
            }
            case 'settle':
              for (const id of stopping) {
                queue.requeue(id);
                reference.requeue(id);
              }
              stopping.clear();
              break;
            case 'remove': {
              const waiting =
                reference.waiting[current.pick % Math.max(1, reference.waiting.length)];
              const id = waiting?.item.id ?? 'unknown';
              expect(queue.remove(id)).toBe(reference.remove(id));
              break;
            }
            case 'pass':
              clock.schedule(10, () => undefined);
              clock.step();
              break;
          }
          compare();
          expect(queue.queuedCount).toBe(reference.waiting.length);
          expect(queue.runningCount).toBe(reference.running.length);
        }
      }),
      {seed: 20_261_204, numRuns: 400},
    );
  });
});
