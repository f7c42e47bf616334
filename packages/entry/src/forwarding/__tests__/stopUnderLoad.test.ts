import {Agent} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {startRouter} from '../__fixtures__/endpointScripts.js';
import {
  type ClientResult,
  type EndpointScript,
  ForwardRig,
  createSignedHeaders,
  waitUntil,
} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

const respondSoon: EndpointScript = async (response, {request}) => {
  await delay(50);
  response.writeHead(200, createSignedHeaders(request)).end('well');
};

const isAnswered = ({status, isComplete}: ClientResult) =>
  isComplete && (status === 200 || status === 503);

/** Sends the head and the first half of the body of a request. */
function sendHalf(id: number): {readonly socket: Socket; readonly text: () => string} {
  const socket = connect(rig.process.clientPort, '127.0.0.1');
  let text = '';
  socket.on('data', (bytes: Buffer) => (text += bytes.toString()));
  socket.write(
    `POST /x HTTP/1.1\r\nhost: a.example\r\nx-id: half-${id}\r\nx-key: key-1\r\ncontent-length: 8\r\n\r\nhalf`,
  );
  return {socket, text: () => text};
}

test('a planned stop under load answers every request that was accepted before or during it', async () => {
  const {received} = await startRouter(rig, respondSoon);
  const agent = new Agent({keepAlive: true, maxSockets: 20});
  const results: Promise<ClientResult>[] = [];
  let count = 0;
  const sendMany = (keepsConnection: boolean) => {
    for (let number = 0; number < 40; number += 1) {
      count += 1;
      const options = keepsConnection ? {agent} : {};
      results.push(rig.sendRequest({'x-id': `r-${count}`}, options));
    }
  };
  sendMany(true);
  const halves = Array.from({length: 10}, (_, index) => sendHalf(index));
  await waitUntil(() => received().length >= 15);
  const stopped = rig.process.stop();
  sendMany(true);
  sendMany(false);
  await rig.advance(500);
  sendMany(false);
  for (const {socket} of halves) socket.write('done');
  while (halves.some(({text}) => !text().includes('\r\n\r\n'))) await delay(5);
  const settled = await Promise.all(results);
  expect(settled.filter((result) => !isAnswered(result))).toEqual([]);
  for (const {text} of halves) expect(text()).toMatch(/^HTTP\/1\.1 (?:200|503) /);
  const executed = new Set(received().map(({request}) => request.headers['x-id']));
  const refused = settled.filter(({status}) => status === 503);
  expect(executed.size + refused.length).toBe(count + halves.length);
  await rig.advance(9000);
  await stopped;
  agent.destroy();
});

describe('the end of the time for a planned stop', () => {
  const route = {kind: 'nonIdempotent', timeoutMs: 60_000} as const;

  test('finds no request of late in that time that may run only once', async () => {
    const {received} = await startRouter(rig, () => undefined, route);
    const stopped = rig.process.stop();
    await rig.advance(2500);
    const late = await rig.sendRequest({'x-deadline': '6000'}, {method: 'POST'});
    expect(late.status).toBe(503);
    expect(received()).toHaveLength(0);
    await rig.advance(9000);
    await stopped;
  });

  test('leaves no request without an answer', async () => {
    const {received} = await startRouter(rig, () => undefined, route);
    const result = rig.sendRequest({}, {method: 'POST'});
    await waitUntil(() => received().length === 1);
    const stopped = rig.process.stop();
    await rig.advance(9000);
    expect((await result).status).toBe(504);
    await stopped;
  });
});
