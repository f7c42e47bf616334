import {connect, type Socket} from 'node:net';
import {flushPromises} from '@marigoldfold/runtime';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {respondOk} from '../__fixtures__/endpointScripts.js';
import {
  createRoute,
  createRoutingConfiguration,
  createSignedHeaders,
  type EndpointScript,
  ForwardRig,
  type TestEndpoint,
  waitUntil,
} from '../__fixtures__/forwardRig.js';

const MAX_BODY_BYTES = 4_000_000;
/** Bodies of this size that fit into the part of the rig's budget that is open to large ones. */
const FITTING_BODIES = 3;

let rig: ForwardRig;
let sockets: Socket[];

beforeEach(() => {
  rig = new ForwardRig();
  sockets = [];
});

afterEach(async () => {
  for (const socket of sockets) socket.destroy();
  await rig.stop();
});

async function startWithEndpoint(script: EndpointScript): Promise<TestEndpoint> {
  const limits = {...createRoutingConfiguration().limits, maxBodyBytes: MAX_BODY_BYTES};
  const routes = [createRoute({timeoutMs: 60_000, targetMs: 20_000})];
  await rig.start(createRoutingConfiguration({limits, routes}));
  const endpoint = await rig.addEndpoint('e1', script);
  await rig.syncStore();
  return endpoint;
}

/** Begins to send a body up to its last bytes; returns the connection and what is received on it. */
function upload(missingBytes: number, size = MAX_BODY_BYTES) {
  const socket = connect(rig.process.clientPort, '127.0.0.1');
  const client = {socket, received: '', isClosed: false};
  sockets.push(socket);
  socket.on('data', (chunk: Buffer) => (client.received += chunk.toString()));
  socket.on('close', () => (client.isClosed = true));
  socket.on('error', () => undefined);
  const id = `upload-${sockets.length}`;
  const head = ['POST /x HTTP/1.1', 'host: a.example', `x-id: ${id}`, 'x-key: key-1'];
  socket.write(`${head.join('\r\n')}\r\ncontent-length: ${size}\r\n\r\n`);
  socket.write(Buffer.alloc(size - missingBytes, 'x'));
  return client;
}

/** Sends a body up to its last bytes; resolves once the rest has arrived. */
async function uploadStalled(missingBytes: number, size = MAX_BODY_BYTES) {
  const client = upload(missingBytes, size);
  await waitUntil(() => client.socket.bytesWritten > size - missingBytes);
  for (let turn = 0; turn < 500; turn += 1) await flushPromises();
  return client;
}

async function readMetric(name: string): Promise<number> {
  const line = (await rig.process.metrics())
    .split('\n')
    .find((text) => text.startsWith(`${name} `));
  return Number(line?.split(' ').at(-1) ?? 0);
}

const heldBodies = 'marigoldfold_forward_held_bytes{kind="body"}';

describe('bodies that stop short of their end', () => {
  // Guards against a process that runs out of memory, or refuses every client, while such bodies are held open.
  test('are evicted for another one, and their clients are told that nothing was run', async () => {
    const endpoint = await startWithEndpoint(respondOk);
    const clients = [];
    for (let count = 0; count < FITTING_BODIES; count += 1) clients.push(await uploadStalled(10));
    const heldBytes = await readMetric(heldBodies);
    expect(heldBytes).toBeGreaterThanOrEqual(FITTING_BODIES * (MAX_BODY_BYTES - 10));
    expect(heldBytes).toBeLessThanOrEqual(FITTING_BODIES * (MAX_BODY_BYTES + 1024));
    expect(await rig.sendRequest({}, {method: 'POST', body: 'small'})).toMatchObject({status: 200});
    await rig.advance(5500);
    const body = 'y'.repeat(MAX_BODY_BYTES);
    expect(await rig.sendRequest({}, {method: 'POST', body})).toMatchObject({status: 200});
    expect(endpoint.received.map((received) => received.body.length)).toEqual([5, body.length]);
    const [evicted] = clients;
    await waitUntil(() => evicted!.received.includes('memory_exhausted'));
    expect(evicted!.received).toMatch(/^HTTP\/1\.1 503 /);
    expect(evicted!.received).toMatch(/\r\nretry-after: 1\r\n/i);
    expect(evicted!.received).toMatch(/\r\nconnection: close\r\n/i);
    evicted!.socket.write('0123456789');
    await waitUntil(() => evicted!.isClosed);
    expect(rig.logEntries).toContainEqual(
      expect.objectContaining({message: 'memory evicted', owner: 'account-1', rule: 'stalled'}),
    );
    expect(
      await readMetric('marigoldfold_forward_memory_refusals_total{kind="body",rule="stalled"}'),
    ).toBe(1);
    for (const socket of sockets) socket.destroy();
    await waitUntil(() => rig.logEntries.filter((e) => e.message === 'client gone').length === 2);
    expect(await readMetric(heldBodies)).toBe(0);
  });
});

describe('a request that has been sent to an endpoint', () => {
  // Guards against a request that is closed or refused after an endpoint may have run it.
  test('is not evicted, and later bodies are refused after a wait', async () => {
    const waiting: (() => void)[] = [];
    const hold: EndpointScript = (response, {request}) => {
      waiting.push(() => response.writeHead(200, createSignedHeaders(request)).end('well'));
    };
    await startWithEndpoint(hold);
    const body = 'y'.repeat(MAX_BODY_BYTES);
    const results = Array.from({length: FITTING_BODIES}, (_, index) =>
      rig.sendRequest({'x-id': `id-${index}`}, {method: 'POST', body}),
    );
    await waitUntil(() => waiting.length === FITTING_BODIES);
    await rig.advance(6000);
    const refused = upload(10);
    for (let turn = 0; turn < 500; turn += 1) await flushPromises();
    await rig.advance(6000);
    await waitUntil(() => refused.received.includes('memory_exhausted'));
    expect(rig.logEntries).toContainEqual(
      expect.objectContaining({message: 'memory refused', owner: 'account-1', rule: 'no_room'}),
    );
    for (const answer of waiting) answer();
    for (const {status} of await Promise.all(results)) expect(status).toBe(200);
    expect(await readMetric(heldBodies)).toBe(0);
  });
});

// Guards against a refusal that is sent although the request is forwarded later, and against bodies kept in the queue.
test('a complete body that waits for an endpoint may be evicted, and is not sent then', async () => {
  const respondLimited: EndpointScript = (response, {request}) => {
    response.writeHead(200, {...createSignedHeaders(request), 'x-limit': '1'}).end('well');
  };
  const endpoint = await startWithEndpoint(respondLimited);
  // The limit is used up when a request is not sent at once.
  const others: Promise<unknown>[] = [];
  while (endpoint.received.length === others.length) {
    others.push(rig.sendRequest({'x-id': `id-${others.length}`}));
    for (let turn = 0; turn < 200; turn += 1) await flushPromises();
  }
  const body = 'y'.repeat(MAX_BODY_BYTES);
  const waiting = rig.sendRequest({'x-id': 'waiting'}, {method: 'POST', body});
  for (let turn = 0; turn < 500; turn += 1) await flushPromises();
  expect(await readMetric(heldBodies)).toBe(MAX_BODY_BYTES);
  for (let count = 1; count < FITTING_BODIES; count += 1) await uploadStalled(10_000);
  // Small ones fill the part of the budget that is reserved for them.
  for (let count = 0; count < 80; count += 1) upload(10, 60_000);
  await waitUntil(() => rig.logEntries.some(({message}) => message === 'memory evicted'));
  expect(rig.logEntries).toContainEqual(
    expect.objectContaining({message: 'memory evicted', bytes: MAX_BODY_BYTES, rule: 'share'}),
  );
  await rig.advance(3000);
  expect(await waiting).toMatchObject({status: 503, body: '{"error":"memory_exhausted"}'});
  await Promise.all(others);
  expect(endpoint.received.every((received) => received.body === '')).toBe(true);
});
