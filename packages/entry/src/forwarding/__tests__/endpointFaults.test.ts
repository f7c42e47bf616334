import {Agent, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {events, inSequence, respondOk, startRouter} from '../__fixtures__/endpointScripts.js';
import {
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

/** Writes bytes to the connection outside of the response, as a faulty endpoint does. */
function writeRaw(response: ServerResponse, bytes: string): void {
  response.socket?.write(bytes);
}

function refusal(id: string): string {
  return `HTTP/1.1 503 Full\r\nx-id: ${id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
}

function success(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signed: yes\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

const refuse: EndpointScript = (response, {request}) => {
  response.writeHead(503, {'x-id': String(request.headers['x-id']), 'x-not-executed': '1'}).end();
};

describe('an earlier response that is written once more on a kept connection', () => {
  const repeatFirst =
    (bytes: string): EndpointScript =>
    async (response) => {
      const middle = Math.floor(bytes.length / 2);
      writeRaw(response, bytes.slice(0, middle));
      await delay(5);
      writeRaw(response, bytes.slice(middle));
    };

  test('does not answer the next request, in two reads', async () => {
    const script = inSequence(respondOk, repeatFirst(success('first', 'well')), respondOk);
    const {received} = await startRouter(rig, script, {}, ['e1']);
    expect(await rig.sendRequest({'x-id': 'first'})).toMatchObject({status: 200});
    const result = await rig.sendRequest({'x-id': 'second'});
    expect(result.status).toBe(502);
    expect(result.body).not.toContain('well');
    expect(received()).toHaveLength(2);
  });

  test('does not answer a request after an idle spell', async () => {
    const respondTwice: EndpointScript = (response, {request}) => {
      response.writeHead(200, createSignedHeaders(request)).end('well');
      setTimeout(() => {
        writeRaw(response, success('first', 'late'));
      }, 5);
    };
    await startRouter(rig, inSequence(respondTwice, respondOk), {}, ['e1']);
    await rig.sendRequest({'x-id': 'first'});
    await delay(30);
    expect(await rig.sendRequest({'x-id': 'second'})).toMatchObject({status: 200, body: 'well'});
  });

  test('does not refuse a request that the endpoint executes', async () => {
    const runAndRepeatRefusal: EndpointScript = (response) => {
      writeRaw(response, refusal('first'));
    };
    const {received} = await startRouter(rig, inSequence(refuse, runAndRepeatRefusal), {}, ['e1']);
    expect((await rig.sendRequest({'x-id': 'first'})).status).toBe(503);
    expect((await rig.sendRequest({'x-id': 'second'})).status).toBe(502);
    expect(received()).toHaveLength(2);
  });

  test('does not refuse a request when it names none', async () => {
    const refuseUnnamed: EndpointScript = (response) => {
      response.writeHead(503, {'x-not-executed': '1'}).end();
    };
    const {received} = await startRouter(rig, refuseUnnamed, {kind: 'nonIdempotent'});
    expect((await rig.sendRequest({}, {method: 'POST'})).status).toBe(502);
    expect(received()).toHaveLength(1);
  });

  test('does not reach a non-idempotent request, which gets a connection of its own', async () => {
    const connections = new Set<unknown>();
    const countConnection: EndpointScript = (response, received) => {
      connections.add(response.socket);
      return respondOk(response, received);
    };
    await startRouter(rig, countConnection, {kind: 'nonIdempotent'}, ['e1']);
    for (const id of ['first', 'second', 'third'])
      expect((await rig.sendRequest({'x-id': id}, {method: 'POST'})).status).toBe(200);
    expect(connections.size).toBe(3);
  });
});

/** Time without events after which clients leave. */
const PATIENCE_MS = 2000;

describe('a stream that broke off', () => {
  const route = {kind: 'stream', isResumable: true, pauseTargetMs: 100} as const;
  const stream = (request: IncomingMessage) => ({
    ...createSignedHeaders(request),
    'content-type': 'text/event-stream',
  });
  const streamAndDisconnect: EndpointScript = (response, {request}) => {
    response.writeHead(200, stream(request));
    response.write(events(1, 3));
    setImmediate(() => response.destroy());
  };
  const largeText = 'this is the text of an error '.repeat(10_000);

  const continuations: readonly (readonly [string, EndpointScript])[] = [
    [
      'an error',
      (response, {request}) => {
        response.writeHead(500, createSignedHeaders(request)).end('the error text');
      },
    ],
    [
      'a large error',
      (response, {request}) => {
        response.writeHead(500, createSignedHeaders(request)).end(largeText);
      },
    ],
    [
      'a large client error',
      (response, {request}) => {
        response.writeHead(404, createSignedHeaders(request)).end(largeText);
      },
    ],
    [
      'another content type',
      (response, {request}) => {
        response.writeHead(200, {...createSignedHeaders(request), 'content-type': 'text/html'});
        response.end(events(4, 6));
      },
    ],
    [
      'a start after missing events',
      (response, {request}) => {
        response.writeHead(200, stream(request)).end(events(5, 6));
      },
    ],
    [
      'events without IDs',
      (response, {request}) => {
        response.writeHead(200, stream(request)).end('data: 4\n\ndata: 5\n\n');
      },
    ],
  ];

  test.each(continuations)('and is continued with %s ends as incomplete', async (_name, script) => {
    await startRouter(rig, inSequence(streamAndDisconnect, script), route);
    const result = await rig.sendRequest();
    expect(result.body).toBe(events(1, 3));
    expect(result.isComplete).toBe(false);
  });

  test('is resumed when the response after an error continues it', async () => {
    const resume: EndpointScript = (response, {request}) => {
      response.writeHead(200, stream(request)).end(events(4, 6));
    };
    const fail: EndpointScript = (response, {request}) => {
      response.writeHead(500, createSignedHeaders(request)).end(largeText);
    };
    const script = inSequence(streamAndDisconnect, fail, resume);
    await startRouter(rig, script, {...route, maxAttempts: 3}, ['e1', 'e2', 'e3']);
    const result = await rig.sendRequest();
    expect(result).toMatchObject({body: events(1, 6), isComplete: true});
  });

  test('and whose events have no IDs is not sent from the start again', async () => {
    const streamUnidentified: EndpointScript = (response, {request}) => {
      response.writeHead(200, stream(request));
      response.write('data: 1\n\n');
      setImmediate(() => response.destroy());
    };
    const {received} = await startRouter(rig, streamUnidentified, route);
    expect(await rig.sendRequest()).toMatchObject({body: 'data: 1\n\n', isComplete: false});
    expect(received()).toHaveLength(1);
  });

  test('that sends only comments is resumed at another endpoint', async () => {
    let isStopped = false;
    const sendComments: EndpointScript = async (response, {request}) => {
      response.writeHead(200, stream(request));
      response.write(events(1, 2));
      while (!isStopped && !response.destroyed) {
        response.write(': waiting\n\n');
        await delay(2);
      }
    };
    const resume: EndpointScript = (response, {request}) => {
      response.writeHead(200, stream(request)).end(events(3, 4));
    };
    const {received} = await startRouter(rig, inSequence(sendComments, resume), route);
    const result = rig.sendRequest();
    await waitUntil(() => received().length === 1);
    await delay(20);
    for (let step = 0; step < PATIENCE_MS / 50 - 2; step += 1) {
      await rig.advance(50);
      await delay(3);
    }
    const {body, isComplete} = await result;
    isStopped = true;
    expect(isComplete).toBe(true);
    expect(body.replaceAll(': waiting\n\n', '')).toBe(events(1, 4));
  });

  test('is not cut when its client reads slowly', async () => {
    const text = 'x'.repeat(500_000);
    const count = 40;
    const sendLarge: EndpointScript = (response, {request}) => {
      response.writeHead(200, stream(request));
      for (let id = 1; id <= count; id += 1) response.write(`id: ${id}\ndata: ${text}\n\n`);
      response.end();
    };
    const {received} = await startRouter(rig, sendLarge, route);
    const client = connect(rig.process.clientPort, '127.0.0.1');
    client.write(
      'GET /x HTTP/1.1\r\nhost: a.example\r\nx-id: slow\r\nx-key: key-1\r\nconnection: close\r\n\r\n',
    );
    await once(client, 'readable');
    await delay(50);
    await rig.advance(3000);
    let size = 0;
    for await (const chunk of client) size += (chunk as Buffer).length;
    expect(size).toBeGreaterThan(count * text.length);
    expect(received()).toHaveLength(1);
  });
});

describe('a connection that a client keeps', () => {
  test('carries the response of each request only', async () => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const echo: EndpointScript = (response, {request}) => {
      response.writeHead(200, createSignedHeaders(request)).end(String(request.headers['x-id']));
    };
    await startRouter(rig, echo);
    for (const id of ['a', 'b', 'c'])
      expect((await rig.sendRequest({'x-id': id}, {agent})).body).toBe(id);
    agent.destroy();
  });
});
