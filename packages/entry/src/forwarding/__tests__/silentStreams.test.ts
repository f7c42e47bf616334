import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {events, inSequence, startRouter} from '../__fixtures__/endpointScripts.js';
import {
  createSignedHeaders,
  type EndpointScript,
  ForwardRig,
  waitUntil,
} from '../__fixtures__/forwardRig.js';

const route = {kind: 'stream', isResumable: true, pauseTargetMs: 100} as const;
/** Time without events after which clients leave. */
const PATIENCE_MS = 2000;
/** Time after which a second endpoint must not work on a request any more while the first one does. */
const MAX_OVERLAP_MS = 400;

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

function startStream(response: ServerResponse, request: IncomingMessage): void {
  response.writeHead(200, {
    ...createSignedHeaders(request),
    'content-type': 'text/event-stream',
  });
}

/** Responses that have sent two events and are silent until the test goes on with them. */
interface SilentRuns {
  readonly responses: ServerResponse[];
  readonly script: EndpointScript;
}

function createSilentRuns(): SilentRuns {
  const responses: ServerResponse[] = [];
  return {
    responses,
    script: (response, {request}) => {
      responses.push(response);
      startStream(response, request);
      if (request.headers['last-event-id'] === undefined) response.write(events(1, 2));
      else response.flushHeaders();
    },
  };
}

const resume: EndpointScript = (response, {request}) => {
  startStream(response, request);
  response.end(events(Number(request.headers['last-event-id']) + 1, 4));
};

/** Sends a request and waits until the client has its first events. */
async function startSilentStream(responses: readonly ServerResponse[]) {
  const result = rig.sendRequest();
  await waitUntil(() => responses.length === 1);
  await delay(20);
  return result;
}

/** Advances the clock and lets sockets settle, since connections take a moment that the virtual clock does not count. */
async function advance(ms: number): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += 50) {
    await rig.advance(50);
    await delay(4);
  }
}

// Guards against ending a sound stream for its silence: its endpoint may have preempted it and will go on.
test.each([
  ['no other endpoint', ['e1'], 2],
  ['no further attempt', ['e1', 'e2'], 1],
])('a silent stream with %s goes on', async (_name, endpoints, maxAttempts) => {
  const {responses, script} = createSilentRuns();
  await startRouter(rig, script, {...route, maxAttempts}, endpoints);
  const result = startSilentStream(responses);
  await delay(50);
  await advance(PATIENCE_MS - 100);
  expect(responses).toHaveLength(1);
  responses[0]!.end(events(3, 4));
  expect(await result).toMatchObject({isComplete: true, body: events(1, 4)});
});

test('a silent stream goes on when the second endpoint is silent too, which stops in time', async () => {
  const {responses, script} = createSilentRuns();
  await startRouter(rig, script, route);
  const result = startSilentStream(responses);
  await delay(50);
  while (responses.length < 2) await advance(50);
  await advance(MAX_OVERLAP_MS - 50);
  expect(responses.map(({destroyed}) => destroyed)).toEqual([false, true]);
  responses[0]!.end(events(3, 4));
  expect(await result).toMatchObject({isComplete: true, body: events(1, 4)});
});

test('a stream that goes on while a second endpoint begins ends the second run', async () => {
  const {responses, script} = createSilentRuns();
  await startRouter(rig, script, route);
  const result = startSilentStream(responses);
  await delay(50);
  while (responses.length < 2) await advance(50);
  responses[0]!.write(events(3, 3));
  await waitUntil(() => responses[1]!.destroyed);
  responses[0]!.end(events(4, 4));
  expect(await result).toMatchObject({isComplete: true, body: events(1, 4)});
});

test('a stream that stays silent is resumed at another endpoint before its client leaves', async () => {
  const {responses, script} = createSilentRuns();
  await startRouter(rig, inSequence(script, resume), route);
  const result = startSilentStream(responses);
  await delay(50);
  await advance(PATIENCE_MS - 100);
  expect(await result).toMatchObject({isComplete: true, body: events(1, 4)});
  await waitUntil(() => responses[0]!.destroyed);
});

test('a silent stream of an endpoint that cannot be reached is resumed within 1.5 s', async () => {
  const {responses, script} = createSilentRuns();
  const {received} = await startRouter(rig, inSequence(script, resume), route);
  const result = startSilentStream(responses);
  await delay(50);
  rig.stopListening(String(received()[0]!.request.headers['x-endpoint']));
  await advance(1500);
  expect(await result).toMatchObject({isComplete: true, body: events(1, 4)});
});

// Guards against ending a sound stream when one check of its endpoint fails and the second endpoint then refuses.
test('a silent stream of an endpoint that is unreachable for a moment goes on', async () => {
  const {responses, script} = createSilentRuns();
  const refusals: (() => void)[] = [];
  const refuseLater: EndpointScript = (response, {request}) => {
    refusals.push(() => {
      const headers = createSignedHeaders(request);
      response.writeHead(503, {...headers, 'x-not-executed': '1'}).end();
    });
  };
  const {received} = await startRouter(rig, inSequence(script, refuseLater), route);
  const result = startSilentStream(responses);
  await delay(50);
  const first = String(received()[0]!.request.headers['x-endpoint']);
  rig.stopListening(first);
  while (refusals.length === 0) await advance(50);
  await rig.listenAgain(first);
  await advance(MAX_OVERLAP_MS - 50);
  refusals[0]!();
  await advance(100);
  responses[0]!.end(events(3, 4));
  expect(await result).toMatchObject({isComplete: true, body: events(1, 4)});
});
