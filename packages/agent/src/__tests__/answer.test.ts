import type {WorkEvent} from '@marigoldfold/protocol';
import {flushPromises, VirtualClock} from '@marigoldfold/runtime';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {readAll} from '../__fixtures__/scriptedWork.js';
import {Answer, maxUnacknowledgedChunks} from '../answer.js';

const load = {
  incarnation: 'life-1',
  configuration: 1,
  running: [],
  queued: [],
  waitMs: [],
  window: 1,
  interTokenMs: 0,
  firstTokenMs: 0,
  isLeaving: false,
};

async function write(answer: Answer, count: number, signal = new AbortController().signal) {
  for (let number = 1; number <= count; number += 1) {
    await answer.publishChunk(`part ${number}`, signal);
  }
  answer.end(load);
}

function numbersOf(events: readonly WorkEvent[]): number[] {
  return events.flatMap((event) => (event.kind === 'chunk' ? [event.number] : []));
}

describe('an answer', () => {
  it('blocks the writer and bounds its memory while the reader is far behind', async () => {
    const answer = new Answer('a.1', new VirtualClock());
    const writing = write(answer, maxUnacknowledgedChunks * 3);
    await flushPromises();
    expect(answer.chunkCount).toBe(maxUnacknowledgedChunks);
    expect(answer.retainedCount).toBe(maxUnacknowledgedChunks);
    answer.acknowledge(maxUnacknowledgedChunks / 2);
    await flushPromises();
    expect(answer.chunkCount).toBe(maxUnacknowledgedChunks * 1.5);
    expect(answer.retainedCount).toBe(maxUnacknowledgedChunks);
    answer.acknowledge(maxUnacknowledgedChunks * 1.5);
    await flushPromises();
    answer.acknowledge(maxUnacknowledgedChunks * 3);
    await writing;
    expect(answer.isFinished).toBe(true);
  });

  it('unblocks its writer when it is aborted', async () => {
    const answer = new Answer('a.1', new VirtualClock());
    const controller = new AbortController();
    const writing = write(answer, maxUnacknowledgedChunks * 2, controller.signal);
    await flushPromises();
    controller.abort();
    await writing;
    expect(answer.isFinished).toBe(true);
  });

  it('is delivered to the newest reader; the previous reader ends without a final event', async () => {
    const answer = new Answer('a.1', new VirtualClock());
    const first = readAll(answer);
    await flushPromises();
    const second = readAll(answer);
    await write(answer, 2);
    expect(await first).toEqual([]);
    expect((await second).at(-1)).toMatchObject({kind: 'end', chunks: 2});
  });

  it('is complete for a reader that disconnects and reconnects at any point', async () => {
    const breaks = fc.array(fc.nat({max: 40}), {maxLength: 10});
    await fc.assert(
      fc.asyncProperty(breaks, fc.integer({min: 0, max: 200}), async (steps, count) => {
        const answer = new Answer('a.1', new VirtualClock());
        const writing = write(answer, count);
        const seen: number[] = [];
        for (const step of steps) {
          const events = answer.read(seen.length, new AbortController().signal);
          for (let read = 0; read < step && seen.length < count; read += 1) {
            const next = await events.next();
            if (next.value?.kind === 'chunk') seen.push(next.value.number);
          }
          await events.return(undefined);
        }
        const rest = await readAll(answer, seen.length);
        await writing;
        seen.push(...numbersOf(rest));
        expect(seen).toEqual(Array.from({length: count}, (_, index) => index + 1));
        expect(rest.at(-1)).toMatchObject({kind: 'end', chunks: count});
      }),
      {seed: 17, numRuns: 200},
    );
  });
});
