import {once} from 'node:events';
import {connect} from 'node:net';
import {flushPromises} from '@marigoldfold/runtime';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {respondOk, startRouter} from '../__fixtures__/endpointScripts.js';
import {
  createRoute,
  createRoutingConfiguration,
  type EndpointScript,
  ForwardRig,
  createSignedHeaders,
  waitUntil,
} from '../__fixtures__/forwardRig.js';
import {blockUntilClientsClose} from '../__fixtures__/blockedProcess.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

function requestText(id: string, headers = ''): string {
  return `GET /x HTTP/1.1\r\nhost: a.example\r\nx-id: ${id}\r\nx-key: key-1\r\n${headers}\r\n`;
}

async function waitUntilInFlight(count: number): Promise<void> {
  const line = `marigoldfold_forward_in_flight ${count}\n`;
  while (!`${await rig.process.metrics()}\n`.includes(line)) await flushPromises();
}

/** Opens keep-alive connections from the router to its endpoints, so that later requests need no connect. */
async function openEndpointConnections(count: number): Promise<void> {
  await Promise.all(
    Array.from({length: count}, (_, index) => rig.sendRequest({'x-id': `warm-${index}`})),
  );
}

describe('a request whose client disconnected before it was read is not sent to an endpoint', () => {
  test.each([
    ['when the close directly follows it', 0],
    ['when clients that stay connected arrive at the same time', 24],
  ])('%s', async (_name, stayingClientCount) => {
    const {received} = await startRouter(rig, respondOk);
    await openEndpointConnections(24);
    const requests = Array.from({length: 24}, (_, index) => requestText(`left-${index}`));
    const worker = blockUntilClientsClose(rig.process.clientPort, requests);
    const workerExit = once(worker, 'exit');
    const results = Array.from({length: stayingClientCount}, (_, index) =>
      rig.sendRequest({'x-id': `stay-${index}`}),
    );
    for (const result of results) expect((await result).status).toBe(200);
    await workerExit;
    await flushPromises();
    const ids = received().map(({request}) => String(request.headers['x-id']));
    expect(ids.filter((id) => id.startsWith('left'))).toEqual([]);
  });
});

describe('work at an endpoint is aborted after the client has disconnected', () => {
  // Guards against running requests of a client that has left, also those that it has sent ahead.
  test('and a request that was pipelined behind another one is not sent', async () => {
    let openRequests = 0;
    const neverRespond: EndpointScript = (response) => {
      openRequests += 1;
      response.on('close', () => (openRequests -= 1));
    };
    const {received} = await startRouter(rig, neverRespond);
    const socket = connect(rig.process.clientPort, '127.0.0.1');
    socket.write(requestText('first') + requestText('second'));
    await waitUntil(() => received().length === 1);
    socket.destroy();
    await waitUntil(() => openRequests === 0);
    expect(rig.logEntries.filter(({message}) => message === 'client gone')).toHaveLength(1);
    await rig.advance(1000);
    expect(received()).toHaveLength(1);
  });
});

describe('a request is refused before it is late', () => {
  test('so that another instance can serve it', async () => {
    const {received} = await startRouter(rig, respondOk, {targetMs: 500});
    let result: {status: number; headers: NodeJS.Dict<unknown>} | undefined;
    void rig.sendRequest().then((response) => (result = response));
    // Advances the clock by 200 ms at a time, so that event loop turns are as long as on a slow instance.
    while (result === undefined) await rig.clock.advance(200);
    expect(result.status).toBe(503);
    expect(Number(result.headers['retry-after'])).toBeGreaterThan(0);
    expect(received()).toHaveLength(0);
    expect(rig.logEntries).toContainEqual(
      expect.objectContaining({message: 'refused', reason: 'instance_busy', sends: 0}),
    );
  });
});

// With half of its own objective to queue, an urgent request was refused while less urgent ones were sent.
test('an urgent request is not refused sooner than less urgent ones for its service may be', async () => {
  await rig.addEndpoint('e1', respondOk);
  const routes = [
    createRoute({prefix: '/urgent/', targetMs: 200, priority: 0}),
    createRoute({prefix: '/later/', targetMs: 4000, priority: 1}),
  ];
  await rig.start(createRoutingConfiguration({routes}));
  let status: number | undefined;
  void rig.sendRequest({}, {path: '/urgent/'}).then((response) => (status = response.status));
  while (status === undefined) await rig.clock.advance(200);
  expect(status).toBe(200);
});

describe('a request ends at its time limit', () => {
  test("when its body does not arrive and the client's limit is below the route's", async () => {
    const {received} = await startRouter(rig, respondOk, {timeoutMs: 600_000});
    const socket = connect(rig.process.clientPort, '127.0.0.1');
    const response = once(socket, 'data');
    socket.write(requestText('r-1', 'x-deadline: 1000\r\ncontent-length: 10\r\n'));
    await waitUntilInFlight(1);
    await rig.advance(1200);
    expect(String((await response)[0])).toMatch(/^HTTP\/1.1 408 /);
    expect(received()).toHaveLength(0);
    socket.destroy();
  });

  test('when its client stays connected without reading', async () => {
    let isClosed = false;
    const sendEndlessly: EndpointScript = (response, {request}) => {
      response.on('close', () => (isClosed = true));
      response.writeHead(200, createSignedHeaders(request));
      const writeMore = () => {
        while (!isClosed && response.write(Buffer.alloc(65_536)));
      };
      response.on('drain', writeMore);
      writeMore();
    };
    await startRouter(rig, sendEndlessly, {timeoutMs: 1000});
    const socket = connect(rig.process.clientPort, '127.0.0.1');
    socket.pause();
    socket.write(requestText('r-1'));
    await waitUntil(() => rig.logEntries.some(({message}) => message === 'sent'));
    for (let turn = 0; turn < 200; turn += 1) await flushPromises();
    await rig.advance(1200);
    await waitUntil(() => isClosed);
    await waitUntilInFlight(0);
    expect(rig.logEntries.at(-1)).toMatchObject({message: 'cut', reason: 'answer_broken'});
    socket.destroy();
  });
});
