import {silentLogger, sleep, VirtualClock} from '@marigoldfold/runtime';
import {describe, expect, it} from 'vitest';
import {
  chunkEvents,
  endEvent,
  loadOf,
  workOf,
  ScriptedAgentClient,
  type AgentScript,
} from '../__fixtures__/scriptedAgentClient.js';
import {Attempt, type RoutedEnd, type RoutedEvent} from '../attempt.js';

const MINUTE_MS = 60_000;

async function runAttempt(
  script: AgentScript,
  agentClient = new ScriptedAgentClient(script),
  takesMs = 0,
) {
  const clock = new VirtualClock();
  let unreachable = 0;
  let held = 0;
  const attempt = new Attempt({
    clock,
    logger: silentLogger,
    agentClient,
    work: workOf(),
    signal: new AbortController().signal,
    onLoad: () => undefined,
    onEvent: () => undefined,
    onSlowCaller: () => {
      held += 1;
    },
    onUnreachable: () => {
      unreachable += 1;
    },
  });
  const events: RoutedEvent[] = [];
  let end: RoutedEnd | undefined;
  const reading = (async () => {
    const answer = attempt.run();
    while (true) {
      const next = await answer.next();
      if (next.done === true) {
        end = next.value;
        return;
      }
      events.push(next.value);
      if (takesMs > 0) await sleep(clock, takesMs);
    }
  })();
  await clock.advance(MINUTE_MS);
  await reading;
  if (end === undefined) throw new Error('the attempt did not end');
  const numbers = events.map((event) => (event.kind === 'chunk' ? event.number : 0));
  return {link: agentClient, end, numbers, unreachable, held};
}

function ranOf(end: RoutedEnd) {
  return end.kind === 'whole' ? 'whole' : end.failure.ran;
}

const neverStarted = {outcome: 'never-started', incarnation: 'life-1'} as const;
const started = [{kind: 'started'}] as const;

describe('a caller that is slow to take chunks', () => {
  it('is told apart from a slow endpoint', async () => {
    const script = {start: [...chunkEvents(1, 3), endEvent(3)]};
    expect((await runAttempt(script)).held).toBe(0);
    expect((await runAttempt(script, new ScriptedAgentClient(script), 20)).held).toBe(3);
  });
});

describe('a broken connection', () => {
  it('is resumed after the last chunk, and repeated chunks are passed on once', async () => {
    const {link, end, numbers} = await runAttempt({
      start: chunkEvents(1, 3),
      resumes: [chunkEvents(2, 5), [...chunkEvents(4, 6), endEvent(6)]],
    });
    expect(end.kind).toBe('whole');
    expect(numbers).toEqual([1, 2, 3, 4, 5, 6]);
    expect(link.resumedAfter).toEqual([3, 5]);
  });

  it('is resumed when a chunk is missing or the end comes too early', async () => {
    const {end, numbers, link} = await runAttempt({
      start: [...chunkEvents(1, 1), ...chunkEvents(3, 4)],
      resumes: [
        [...chunkEvents(2, 2), endEvent(4)],
        [...chunkEvents(3, 4), endEvent(4)],
      ],
    });
    expect(end.kind).toBe('whole');
    expect(numbers).toEqual([1, 2, 3, 4]);
    expect(link.resumedAfter).toEqual([1, 2]);
  });

  it('is resumed any number of times while the answer goes on', async () => {
    const resumes = Array.from({length: 20}, (_, index) => chunkEvents(index + 2, index + 2));
    const {end, numbers} = await runAttempt({
      start: chunkEvents(1, 1),
      resumes: [...resumes, [endEvent(21)]],
    });
    expect(end.kind).toBe('whole');
    expect(numbers).toHaveLength(21);
  });

  it('that says nothing for too long is resumed', async () => {
    const {end, link} = await runAttempt({
      start: 'hang',
      resumes: [[...chunkEvents(1, 1), endEvent(1)]],
    });
    expect(end.kind).toBe('whole');
    expect(link.resumedAfter).toEqual([0]);
  });
});

describe('an agent that cannot be reached again', () => {
  it('was not given the request when it had not started it', async () => {
    const {end} = await runAttempt({start: [], withdrawal: neverStarted});
    expect(ranOf(end)).toBe('no');
  });

  it('may have run the request when it does not answer the withdrawal', async () => {
    const {end, link, unreachable} = await runAttempt({start: []});
    expect(ranOf(end)).toBe('unknown');
    expect(link.withdrawals).toBe(2);
    expect(unreachable).toBeGreaterThan(0);
  });

  it('may have run the request when it said that it started, and has run it after a chunk', async () => {
    const silent = await runAttempt({start: [...started]});
    expect(ranOf(silent.end)).toBe('unknown');
    const spoken = await runAttempt({start: [...started, ...chunkEvents(1, 1)]});
    expect(ranOf(spoken.end)).toBe('yes');
  });

  it('may have run the request when a later incarnation knows nothing of it', async () => {
    const later = {outcome: 'never-started', incarnation: 'life-2'} as const;
    const {end} = await runAttempt({start: [], resumes: [{kind: 'unknown'}], withdrawal: later});
    expect(ranOf(end)).toBe('unknown');
  });

  it('was not given the request when the same incarnation knows nothing of it', async () => {
    const {end} = await runAttempt({
      start: [],
      resumes: [{kind: 'unknown'}],
      withdrawal: neverStarted,
    });
    expect(ranOf(end)).toBe('no');
  });

  it('may have run the request when only the resume could not be sent', async () => {
    const refused = {kind: 'unreachable', message: 'refused', mayHaveBeenSent: false} as const;
    const {end} = await runAttempt({start: [], resumes: [refused]});
    expect(ranOf(end)).toBe('unknown');
    const lost = {kind: 'unreachable', message: 'cut off', mayHaveBeenSent: true} as const;
    const cutOff = await runAttempt({start: lost, resumes: [refused]});
    expect(ranOf(cutOff.end)).toBe('unknown');
  });

  it('was not given the request when nothing was sent', async () => {
    const {end, link} = await runAttempt({
      start: {kind: 'unreachable', message: 'refused', mayHaveBeenSent: false},
    });
    expect(ranOf(end)).toBe('no');
    expect(link.withdrawals).toBe(0);
  });
});

describe('an incarnation', () => {
  it('is asked for before the first request and named in it', async () => {
    const {link} = await runAttempt({start: [endEvent(0)]});
    expect(link.probes).toBe(1);
    expect(link.started[0]?.agent).toBe('life-1');
  });

  it('that was replaced refuses the request, which then goes to the new one', async () => {
    const failure = {code: 'stale_incarnation', message: '', ran: 'no'} as const;
    const {link, end} = await runAttempt({
      start: {kind: 'refused', failure, load: loadOf('life-2')},
      secondStart: [endEvent(0)],
    });
    expect(end.kind).toBe('whole');
    expect(link.started.map(({agent}) => agent)).toEqual(['life-1', 'life-2']);
  });
});

it('long answers are acknowledged part by part', async () => {
  const {link} = await runAttempt({start: [...chunkEvents(1, 600), endEvent(600)]});
  expect(link.acknowledged).toEqual([256, 512]);
});
