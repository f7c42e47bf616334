import {silentLogger, sleep, VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, it} from 'vitest';
import {
  createChunkEvents,
  createEndEvent,
  createLoadReport,
  createWorkRequest,
  ScriptedAgentClient,
  type AgentScript,
} from '../__fixtures__/scriptedAgentClient.js';
import {Attempt, type RoutedEnd, type RoutedEvent} from '../attempt.js';

const MINUTE_MS = 60_000;

async function runAttempt(
  script: AgentScript,
  agentClient = new ScriptedAgentClient(script),
  readMs = 0,
) {
  const clock = new VirtualClock();
  let unreachable = 0;
  let slowReads = 0;
  const attempt = new Attempt({
    clock,
    logger: silentLogger,
    agentClient,
    work: createWorkRequest(),
    signal: new AbortController().signal,
    onLoad: () => undefined,
    onEvent: () => undefined,
    onSlowCaller: () => {
      slowReads += 1;
    },
    onUnreachable: () => {
      unreachable += 1;
    },
  });
  const events: RoutedEvent[] = [];
  let end: RoutedEnd | undefined;
  const consumer = (async () => {
    const answer = attempt.run();
    while (true) {
      const next = await answer.next();
      if (next.done === true) {
        end = next.value;
        return;
      }
      events.push(next.value);
      if (readMs > 0) await sleep(clock, readMs);
    }
  })();
  await clock.advance(MINUTE_MS);
  await consumer;
  if (end === undefined) throw new Error('the attempt did not end');
  const numbers = events.map((event) => (event.kind === 'chunk' ? event.number : 0));
  return {agentClient, end, numbers, unreachable, slowReads};
}

function ranOf(end: RoutedEnd) {
  return end.kind === 'whole' ? 'whole' : end.failure.ran;
}

const neverStarted = {outcome: 'never-started', incarnation: 'life-1'} as const;
const started = [{kind: 'started'}] as const;

describe('a caller that is slow to read chunks', () => {
  it('is reported for each chunk that it reads slowly, and a fast caller is not', async () => {
    const script = {start: [...createChunkEvents(1, 3), createEndEvent(3)]};
    expect((await runAttempt(script)).slowReads).toBe(0);
    expect((await runAttempt(script, new ScriptedAgentClient(script), 20)).slowReads).toBe(3);
  });
});

describe('a broken connection', () => {
  it('is resumed after the last chunk, and repeated chunks are forwarded once', async () => {
    const {agentClient, end, numbers} = await runAttempt({
      start: createChunkEvents(1, 3),
      resumes: [createChunkEvents(2, 5), [...createChunkEvents(4, 6), createEndEvent(6)]],
    });
    expect(end.kind).toBe('whole');
    expect(numbers).toEqual([1, 2, 3, 4, 5, 6]);
    expect(agentClient.resumedAfter).toEqual([3, 5]);
  });

  it('is resumed when a chunk is missing or the end event arrives too early', async () => {
    const {end, numbers, agentClient} = await runAttempt({
      start: [...createChunkEvents(1, 1), ...createChunkEvents(3, 4)],
      resumes: [
        [...createChunkEvents(2, 2), createEndEvent(4)],
        [...createChunkEvents(3, 4), createEndEvent(4)],
      ],
    });
    expect(end.kind).toBe('whole');
    expect(numbers).toEqual([1, 2, 3, 4]);
    expect(agentClient.resumedAfter).toEqual([1, 2]);
  });

  it('is resumed any number of times while each resume yields new chunks', async () => {
    const resumes = Array.from({length: 20}, (_, index) => createChunkEvents(index + 2, index + 2));
    const {end, numbers} = await runAttempt({
      start: createChunkEvents(1, 1),
      resumes: [...resumes, [createEndEvent(21)]],
    });
    expect(end.kind).toBe('whole');
    expect(numbers).toHaveLength(21);
  });

  it('is resumed when it sends no event before the silence timeout', async () => {
    const {end, agentClient} = await runAttempt({
      start: 'hang',
      resumes: [[...createChunkEvents(1, 1), createEndEvent(1)]],
    });
    expect(end.kind).toBe('whole');
    expect(agentClient.resumedAfter).toEqual([0]);
  });
});

describe('an agent that becomes unreachable', () => {
  it('has not run the request when a withdrawal reports that it never started', async () => {
    const {end} = await runAttempt({start: [], withdrawal: neverStarted});
    expect(ranOf(end)).toBe('no');
  });

  it('may have run the request when the withdrawal fails', async () => {
    const {end, agentClient, unreachable} = await runAttempt({start: []});
    expect(ranOf(end)).toBe('unknown');
    expect(agentClient.withdrawals).toBe(2);
    expect(unreachable).toBeGreaterThan(0);
  });

  it('may have run the request after a started event, and has run it after a chunk', async () => {
    const withoutChunk = await runAttempt({start: [...started]});
    expect(ranOf(withoutChunk.end)).toBe('unknown');
    const withChunk = await runAttempt({start: [...started, ...createChunkEvents(1, 1)]});
    expect(ranOf(withChunk.end)).toBe('yes');
  });

  it('may have run the request when a later incarnation reports that it never started', async () => {
    const later = {outcome: 'never-started', incarnation: 'life-2'} as const;
    const {end} = await runAttempt({start: [], resumes: [{kind: 'unknown'}], withdrawal: later});
    expect(ranOf(end)).toBe('unknown');
  });

  it('has not run the request when the same incarnation reports that it never started', async () => {
    const {end} = await runAttempt({
      start: [],
      resumes: [{kind: 'unknown'}],
      withdrawal: neverStarted,
    });
    expect(ranOf(end)).toBe('no');
  });

  it('may have run the request when the start may have been received and a resume was not sent', async () => {
    const refused = {kind: 'unreachable', message: 'refused', mayHaveBeenSent: false} as const;
    const {end} = await runAttempt({start: [], resumes: [refused]});
    expect(ranOf(end)).toBe('unknown');
    const lost = {kind: 'unreachable', message: 'cut off', mayHaveBeenSent: true} as const;
    const cutOff = await runAttempt({start: lost, resumes: [refused]});
    expect(ranOf(cutOff.end)).toBe('unknown');
  });

  it('has not run the request when nothing was sent', async () => {
    const {end, agentClient} = await runAttempt({
      start: {kind: 'unreachable', message: 'refused', mayHaveBeenSent: false},
    });
    expect(ranOf(end)).toBe('no');
    expect(agentClient.withdrawals).toBe(0);
  });
});

describe('an incarnation', () => {
  it('is probed before the first request and included in it', async () => {
    const {agentClient} = await runAttempt({start: [createEndEvent(0)]});
    expect(agentClient.probes).toBe(1);
    expect(agentClient.started[0]?.agent).toBe('life-1');
  });

  it('that is stale refuses the request, which is then sent to the current one', async () => {
    const failure = {code: 'stale_incarnation', message: '', ran: 'no'} as const;
    const {agentClient, end} = await runAttempt({
      start: {kind: 'refused', failure, load: createLoadReport('life-2')},
      secondStart: [createEndEvent(0)],
    });
    expect(end.kind).toBe('whole');
    expect(agentClient.started.map(({agent}) => agent)).toEqual(['life-1', 'life-2']);
  });
});

it('acknowledges long answers every 256 chunks', async () => {
  const {agentClient} = await runAttempt({
    start: [...createChunkEvents(1, 600), createEndEvent(600)],
  });
  expect(agentClient.acknowledged).toEqual([256, 512]);
});
