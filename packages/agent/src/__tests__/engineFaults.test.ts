import {systemClock} from '@marigoldfold/runtime';
import {
  createAnswerText,
  batchingSpeed,
  type EngineFault,
  startEngine,
} from '@marigoldfold/standin';
import {createHttpClient} from '@marigoldfold/transport';
import {silentLogger} from '@marigoldfold/runtime';
import type {WorkEvent} from '@marigoldfold/protocol';
import {describe, expect, it} from 'vitest';
import {createGenerationWork, readAll} from '../__fixtures__/scriptedWork.js';
import {createHttpEngine} from '../httpEngine.js';
import {Worker} from '../worker.js';
import {defaultWorkerTiming} from '../workerOptions.js';
import {WorkQueue} from '../workQueue.js';

const TOKENS = 6;
const SILENCE_LIMIT_MS = 400;

type FaultChoice = (token: number, sendCount: number) => EngineFault | undefined;

/** Runs one generation over HTTP on a faulty engine; `sendCount` starts at 1 for each token. */
async function generate(chooseFault: FaultChoice, isHung = false) {
  using engine = (await startEngine(systemClock, batchingSpeed(4, 2)))._unsafeUnwrap();
  using client = createHttpClient();
  const times = new Map<number, number>();
  engine.implementation.isHung = isHung;
  engine.implementation.chooseFault = (_id, token) => {
    const sendCount = (times.get(token) ?? 0) + 1;
    times.set(token, sendCount);
    return chooseFault(token, sendCount);
  };
  using worker = new Worker({
    incarnation: 'life-1',
    clock: systemClock,
    logger: silentLogger,
    queue: new WorkQueue({clock: systemClock, slots: 1, capacity: 1}),
    engine: createHttpEngine(client, engine.address),
    configurationNumber: () => 1,
    timing: {
      ...defaultWorkerTiming,
      firstTokenLimitMs: SILENCE_LIMIT_MS,
      silenceLimitMs: SILENCE_LIMIT_MS,
    },
  });
  const body = {model: 'm', prompt: 'bar 12', max_tokens: TOKENS};
  const task = {kind: 'generation', model: 'm', path: '/v1/completions', body} as const;
  const answer = worker.submit(createGenerationWork('a.1', {task}))._unsafeUnwrap();
  const events = await readAll(answer);
  return {text: textOf(events), last: events.at(-1), left: engine.implementation.generationCount};
}

function textOf(events: readonly WorkEvent[]): string {
  let text = '';
  for (const event of events) {
    if (event.kind !== 'chunk') continue;
    const part = JSON.parse(event.data) as {readonly choices: readonly {readonly text: string}[]};
    text += part.choices[0]?.text ?? '';
  }
  return text;
}

const tokenText = createAnswerText(JSON.stringify('bar 12'));
const completeText = Array.from({length: TOKENS}, (_, index) => tokenText(index + 1)).join('');

describe('an answer is complete although the engine', () => {
  it.each<[string, FaultChoice]>([
    [
      'closes the connection at the first token',
      (token, sendCount) => (token === 1 && sendCount === 1 ? 'cut' : undefined),
    ],
    [
      'closes the connection in the middle',
      (token, sendCount) => (token === 3 && sendCount === 1 ? 'cut' : undefined),
    ],
    [
      'closes the connection three times',
      (token, sendCount) => (token > 2 && token < 6 && sendCount === 1 ? 'cut' : undefined),
    ],
    ['sends duplicate tokens', () => 'repeat'],
    [
      'drops a token',
      (token, sendCount) => (token === 3 && sendCount === 1 ? 'swallow' : undefined),
    ],
  ])('%s', async (_name, chooseFault) => {
    const {text, last, left} = await generate(chooseFault);
    expect(text).toBe(completeText);
    expect(last).toMatchObject({kind: 'end', chunks: TOKENS});
    expect(left).toBe(0);
  });
});

describe('the answer fails when the engine', () => {
  it('sends the end mark too early', async () => {
    const {last, text} = await generate((token) => (token === 4 ? 'done-early' : undefined));
    expect(last).toMatchObject({kind: 'failed', failure: {code: 'endpoint_failed', ran: 'yes'}});
    expect(completeText.startsWith(text)).toBe(true);
  });

  it('sends an unparsable chunk', async () => {
    const {last, left} = await generate((token) => (token === 4 ? 'garbage' : undefined));
    expect(last).toMatchObject({kind: 'failed', failure: {code: 'endpoint_failed', ran: 'yes'}});
    expect(left).toBe(0);
  });

  it('hangs before the first token', async () => {
    const {last, left} = await generate(() => undefined, true);
    expect(last).toMatchObject({kind: 'failed', failure: {code: 'timed_out', ran: 'unknown'}});
    expect(left).toBe(0);
  });

  it('hangs in the middle of an answer', async () => {
    const {last, left} = await generate((token) => (token >= 4 ? 'swallow' : undefined));
    expect(last).toMatchObject({kind: 'failed', failure: {ran: 'yes'}});
    expect(left).toBe(0);
  });

  it('closes the connection repeatedly at the same token', async () => {
    const {last, left} = await generate((token) => (token === 4 ? 'cut' : undefined));
    expect(last).toMatchObject({kind: 'failed', failure: {code: 'endpoint_failed', ran: 'yes'}});
    expect(left).toBe(0);
  });
});

it('an unreachable engine has not run the request', async () => {
  const engine = (await startEngine(systemClock, batchingSpeed(4, 2)))._unsafeUnwrap();
  const {address} = engine;
  engine[Symbol.dispose]();
  using client = createHttpClient();
  using worker = new Worker({
    incarnation: 'life-1',
    clock: systemClock,
    logger: silentLogger,
    queue: new WorkQueue({clock: systemClock, slots: 1, capacity: 1}),
    engine: createHttpEngine(client, address),
    configurationNumber: () => 1,
    timing: defaultWorkerTiming,
  });
  const events = await readAll(worker.submit(createGenerationWork('a.1'))._unsafeUnwrap());
  expect(events.at(-1)).toMatchObject({
    kind: 'failed',
    failure: {code: 'endpoint_unreachable', ran: 'no'},
  });
});
