import {connect} from 'node:net';
import {flushPromises} from '@marigoldfold/runtime';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {respondOk, events, inSequence, startRouter} from '../__fixtures__/endpointScripts.js';
import {
  type EndpointScript,
  ForwardRig,
  createSignedHeaders,
  waitUntil,
} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;
let openFloods: number;

beforeEach(() => {
  rig = new ForwardRig();
  openFloods = 0;
});

afterEach(async () => {
  await rig.stop();
});

/** Creates a script that sends the same bytes repeatedly until the connection is closed. */
function flood(status: number, start: string, repeated: string): EndpointScript {
  return (response, {request}) => {
    openFloods += 1;
    response.on('close', () => (openFloods -= 1));
    response.writeHead(status, createSignedHeaders(request));
    response.write(start);
    const chunk = repeated.repeat(Math.ceil(65_536 / repeated.length));
    const writeMore = () => {
      while (!response.destroyed && response.write(chunk));
    };
    response.on('drain', writeMore);
    writeMore();
  };
}

describe('a request with an endless response is retried at another endpoint', () => {
  test('when the response is an error', async () => {
    await startRouter(rig, inSequence(flood(500, '', 'zzzz'), respondOk));
    expect(await rig.sendRequest()).toMatchObject({status: 200, body: 'well'});
    await waitUntil(() => openFloods === 0);
  });

  test('when the response is a single event of a stream', async () => {
    const resume: EndpointScript = (response, {request}) => {
      response.writeHead(200, createSignedHeaders(request)).end(events(3, 4));
    };
    await startRouter(rig, inSequence(flood(200, events(1, 2), 'zzzz'), resume), {
      kind: 'stream',
      isResumable: true,
    });
    expect(await rig.sendRequest()).toMatchObject({
      status: 200,
      body: events(1, 4),
      isComplete: true,
    });
    await waitUntil(() => openFloods === 0);
  });

  test('when bytes arrive slowly and never complete an event', async () => {
    const sendSlowly: EndpointScript = (response, {request}) => {
      response.writeHead(200, createSignedHeaders(request));
      response.write(events(1, 2));
      const writeMore = () => {
        if (response.destroyed) return;
        response.write('z');
        rig.clock.schedule(200, writeMore);
      };
      writeMore();
    };
    const resume: EndpointScript = (response, {request}) => {
      response.writeHead(200, createSignedHeaders(request)).end(events(3, 4));
    };
    await startRouter(rig, inSequence(sendSlowly, resume), {
      kind: 'stream',
      isResumable: true,
      timeoutMs: 60_000,
    });
    let body: string | undefined;
    void rig.sendRequest().then((response) => (body = response.body));
    await waitUntil(() => rig.logEntries.some(({message}) => message === 'sent'));
    await rig.advance(5000);
    for (let turn = 0; turn < 50; turn += 1) await flushPromises();
    expect(body).toBe(events(1, 4));
  });
});

describe('an endless response is aborted', () => {
  test.each([
    ['a plain response', {}, flood(200, '', 'zzzz')],
    ['blank lines', {kind: 'stream', isResumable: true} as const, flood(200, '', '\n')],
    ['a stream that cannot be resumed', {kind: 'stream'} as const, flood(200, '', 'zzzz')],
  ])('after its client has disconnected: %s', async (_name, route, script) => {
    await startRouter(rig, script, route);
    const socket = connect(rig.process.clientPort, '127.0.0.1');
    socket.write('GET /x HTTP/1.1\r\nhost: a.example\r\nx-id: r-1\r\nx-key: key-1\r\n\r\n');
    let size = 0;
    socket.on('data', (chunk: Buffer) => (size += chunk.length));
    await waitUntil(() => size > 1_000_000);
    socket.destroy();
    await waitUntil(() => openFloods === 0);
    await waitUntil(() => rig.logEntries.some(({message}) => message === 'client gone'));
  });
});

// Guards against a process that runs out of memory while many endpoints send without end.
test('incomplete events of many endless streams are kept up to a limit only', async () => {
  const STREAMS = 40;
  const SIZE = 900_000;
  const LIMIT = 16_777_216;
  const sendPart: EndpointScript = (response, {request}) => {
    if (request.headers['x-id'] === 'sound') {
      response.writeHead(200, createSignedHeaders(request)).end(events(1, 2));
      return;
    }
    openFloods += 1;
    response.on('close', () => (openFloods -= 1));
    response.writeHead(200, createSignedHeaders(request));
    response.write('z'.repeat(SIZE));
  };
  const {received} = await startRouter(
    rig,
    sendPart,
    {kind: 'stream', isResumable: true, maxAttempts: 1},
    ['e1', 'e2', 'e3', 'e4'],
  );
  const results = Array.from({length: STREAMS}, (_, index) =>
    rig.sendRequest({'x-id': `endless-${index}`}),
  );
  await waitUntil(() => received().length === STREAMS);
  await waitUntil(() => openFloods * SIZE <= LIMIT);
  expect(await rig.sendRequest({'x-id': 'sound'})).toMatchObject({
    isComplete: true,
    body: events(1, 2),
  });
  await rig.advance(6000);
  for (const {status} of await Promise.all(results)) expect(status).toBeGreaterThanOrEqual(500);
});
