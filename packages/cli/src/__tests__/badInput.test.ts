/**
 * Tests the responses to invalid requests and to clients that violate the protocol, and that all resources of these
 * requests are released.
 */
import {request as httpRequest} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {silentLogger} from '@marigoldfold/runtime';
import {splitAddress} from '@marigoldfold/transport';
import {WebSocket} from 'ws';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {parseBody, openRawConnection} from '../__fixtures__/rawConnection.js';
import {type LocalSystem, startLocalSystem} from '../localSystem.js';

const MAX_BODY_BYTES = 65_536;
const MAX_CONNECTIONS = 12;
const CHAT = '/v1/chat/completions';
const FIRST_TOKEN_PATTERN = /content":"answer/;

let system: LocalSystem;

beforeAll(async () => {
  const started = await startLocalSystem({
    port: 0,
    operatorsPort: 0,
    logger: silentLogger,
    engines: 1,
    slots: 1,
    interTokenMs: 2,
    limits: {
      maxBodyBytes: MAX_BODY_BYTES,
      maxHeaderBytes: 4096,
      maxConnections: MAX_CONNECTIONS,
      idleTimeoutMs: 400,
      requestTimeoutMs: 400,
      stalledReaderTimeoutMs: 400,
    },
  });
  system = started._unsafeUnwrap();
});

afterAll(async () => {
  await system.drain();
});

// After each test, no generation, queued work or request in flight may remain.
afterEach(async () => {
  const isIdle = async () =>
    system.engines.every(({implementation}) => implementation.generationCount === 0) &&
    system.agents.every(({worker}) => worker.activeCount === 0) &&
    (await readMetric('marigoldfold_requests_in_flight')) === 0;
  while (!(await isIdle())) await wait(10);
  for (const {worker} of system.agents) {
    const {running, queued} = worker.load();
    expect([...running, ...queued].every((count) => count === 0)).toBe(true);
  }
});

async function readMetric(name: string): Promise<number> {
  const answer = await fetch(`http://${system.entry.operators.address}/metrics`);
  const line = new RegExp(`^${name} (\\S+)$`, 'm').exec(await answer.text());
  return Number(line?.[1]);
}

function send(method: string, path: string, body?: string, headers: Record<string, string> = {}) {
  return fetch(`http://${system.entry.callers.address}${path}`, {
    method,
    headers: {authorization: `Bearer ${system.keys.client}`, ...headers},
    ...(body === undefined ? {} : {body}),
  });
}

function chatBody(fields: Record<string, unknown> = {}): string {
  const messages = [{role: 'user', content: 'Bar 12: slur or tie?'}];
  return JSON.stringify({model: 'score-reader', messages, max_tokens: 3, ...fields});
}

function rawChatRequest(body: string, extra: readonly string[] = []): string {
  const lines = [
    `POST ${CHAT} HTTP/1.1`,
    'host: entry',
    `authorization: Bearer ${system.keys.client}`,
    ...extra,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

async function expectRefusal(answer: Response, status: number, code: string, message: string) {
  const requestId = answer.headers.get('x-request-id');
  expect(requestId).toMatch(/^[0-9a-z.-]+$/);
  expect(answer.status).toBe(status);
  expect(await answer.json()).toEqual({
    error: {code, message, request_id: requestId, ran: 'no'},
  });
}

describe('an invalid body is refused with the name of the field', () => {
  const prompt = 'a text, a list of texts, a list of tokens or a list of lists of tokens';
  it.each([
    [CHAT, '{"model":', 'the body is not JSON'],
    [CHAT, 'null', 'body: Invalid input: expected object, received null'],
    [CHAT, chatBody({model: ''}), 'model: Too small: expected string to have >=1 characters'],
    [CHAT, chatBody({model: 7}), 'model: Invalid input: expected string, received number'],
    [CHAT, chatBody({messages: undefined}), 'messages: is required'],
    [CHAT, chatBody({messages: []}), 'messages: Too small: expected array to have >=1 items'],
    [CHAT, chatBody({stream: 'yes'}), 'stream: Invalid input: expected boolean, received string'],
    [CHAT, chatBody({n: 0}), 'n: Too small: expected number to be >=1'],
    ['/v1/completions', '{"model":"score-reader"}', 'prompt: is required'],
    ['/v1/completions', '{"model":"score-reader","prompt":[]}', `prompt: ${prompt}`],
    ['/v1/completions', '{"model":"score-reader","prompt":["a",1]}', `prompt: ${prompt}`],
  ])('%s %s', async (path, body, message) => {
    await expectRefusal(await send('POST', path, body), 400, 'bad_request', message);
  });
});

describe('requests with an unknown model, class, service or path', () => {
  it('refuses an unknown model', async () => {
    const message = 'model: class standard has no endpoints with model organ-tuner';
    const answer = await send('POST', CHAT, chatBody({model: 'organ-tuner'}));
    await expectRefusal(answer, 404, 'unknown_model', message);
  });

  it('refuses an unknown class', async () => {
    const answer = await send('POST', CHAT, chatBody(), {'x-marigoldfold-class': 'fastest'});
    const message = 'x-marigoldfold-class: there is no class fastest';
    await expectRefusal(answer, 400, 'unknown_class', message);
  });

  it('refuses a class that the account may not use', async () => {
    const state = {tier: 1, endpointSets: ['engines']};
    const changes = [{kind: 'class' as const, name: 'duty-officer', state}];
    (await system.applyDraft({reason: 'a class of another account', changes}))._unsafeUnwrap();
    const answer = await send('POST', CHAT, chatBody(), {'x-marigoldfold-class': 'duty-officer'});
    const message = 'x-marigoldfold-class: account demo may not use class duty-officer';
    await expectRefusal(answer, 403, 'class_not_allowed', message);
  });

  it('refuses an unknown service', async () => {
    const answer = await send('POST', '/v1/services/archive/scans', '{}');
    const message = 'class standard has no endpoints of service archive';
    await expectRefusal(answer, 404, 'unknown_service', message);
  });

  it('refuses unknown paths and methods', async () => {
    const path = await send('POST', '/v1/embeddings', '{}');
    await expectRefusal(path, 404, 'not_found', 'POST /v1/embeddings is not part of this API');
    const method = await send('GET', CHAT);
    expect(method.headers.get('allow')).toBe('POST');
    await expectRefusal(method, 405, 'method_not_allowed', `${CHAT} takes POST, not GET`);
  });
});

describe('bearer, idempotency and cluster keys', () => {
  it.each([
    ['no key', {authorization: ''}],
    ['another scheme', {authorization: 'Basic ZGVtbw=='}],
    ['a key of no account', {authorization: 'Bearer mf.nobody.AAAA'}],
    ['a wrong key of an account', {authorization: 'Bearer mf.demo.AAAA'}],
  ])('refuses %s', async (_case, headers) => {
    const answer = await send('POST', CHAT, chatBody(), headers);
    expect(answer.headers.get('www-authenticate')).toBe('Bearer');
    const message = 'the bearer key is missing or not known';
    await expectRefusal(answer, 401, 'unauthenticated', message);
  });

  it('refuses a non-idempotent call without an idempotency key or with one that is too long', async () => {
    const before = system.ledger.implementation.postings.length;
    const path = '/v1/services/ledger/postings';
    const posting = '{"account":"civic-band","pence":900}';
    const missing = 'Idempotency-Key: POST /postings may run at most once and needs this header';
    const without = await send('POST', path, posting);
    await expectRefusal(without, 400, 'idempotency_key_missing', missing);
    const long = await send('POST', path, posting, {'idempotency-key': 'k'.repeat(256)});
    const tooLong = 'Idempotency-Key: has more than 255 characters';
    await expectRefusal(long, 400, 'bad_request', tooLong);
    expect(system.ledger.implementation.postings.length).toBe(before);
  });

  it('refuses agent requests without the cluster key', async () => {
    const address = system.agents[0]!.server.address;
    for (const headers of [{}, {'x-cluster-key': 'wrong'}]) {
      const answer = await fetch(`http://${address}/work`, {method: 'POST', body: '{}', headers});
      expect(answer.status).toBe(401);
      expect(await answer.json()).toEqual({message: 'the cluster key is missing or wrong'});
      const status = await new Promise((resolve) => {
        const socket = new WebSocket(`ws://${address}/control`, {headers});
        socket.on('unexpected-response', (_request, {statusCode}) => {
          resolve(statusCode);
        });
        socket.on('error', () => undefined);
      });
      expect(status).toBe(401);
    }
  });
});

describe('size limits', () => {
  const tooLarge = `body: is over ${MAX_BODY_BYTES} bytes`;

  it.each([['with'], ['without']])(
    'answers an oversized body %s a content length',
    async (lengthCase) => {
      const bytes = 8 * MAX_BODY_BYTES;
      const headers = {
        authorization: `Bearer ${system.keys.client}`,
        ...(lengthCase === 'with' ? {'content-length': bytes} : {}),
      };
      const text = await new Promise<string>((resolve, reject) => {
        const url = `http://${system.entry.callers.address}${CHAT}`;
        const outgoing = httpRequest(url, {method: 'POST', headers, agent: false}, (answer) => {
          answer.setEncoding('utf8');
          answer.on('data', resolve);
        });
        outgoing.on('error', reject);
        for (let sent = 0; sent < bytes; sent += MAX_BODY_BYTES) {
          outgoing.write('x'.repeat(MAX_BODY_BYTES));
        }
        outgoing.end();
      });
      expect(JSON.parse(text)).toMatchObject({
        error: {code: 'body_too_large', message: tooLarge, ran: 'no'},
      });
    },
  );

  it('closes the connection if the client keeps sending after the refusal', async () => {
    const connection = await openRawConnection(system.entry.callers.address);
    connection.socket.write(rawChatRequest('x', [`content-length: ${100 * MAX_BODY_BYTES}`]));
    expect(await connection.closed).toContain(tooLarge);
  });

  it('refuses oversized headers', async () => {
    const connection = await openRawConnection(system.entry.callers.address);
    connection.socket.write(rawChatRequest('', [`x-filler: ${'x'.repeat(8192)}`]));
    const received = await connection.closed;
    expect(received).toMatch(/^HTTP\/1\.1 431 /);
    expect(parseBody(received)).toEqual({
      error: {
        code: 'headers_too_large',
        message: 'the headers are too large',
        request_id: '',
        ran: 'no',
      },
    });
  });

  it('refuses text that is not HTTP', async () => {
    const connection = await openRawConnection(system.entry.callers.address);
    connection.socket.write('good morning\r\n\r\n');
    const received = await connection.closed;
    expect(received).toMatch(/^HTTP\/1\.1 400 /);
    expect(parseBody(received)).toMatchObject({error: {code: 'bad_request', ran: 'no'}});
  });
});

describe('slow clients', () => {
  it('times out a body that arrives too slowly', async () => {
    const connection = await openRawConnection(system.entry.callers.address);
    connection.socket.write(rawChatRequest('{"model"', ['content-length: 500']));
    const received = await connection.waitForText(/"ran":"no"/);
    expect(received).toMatch(/^HTTP\/1\.1 408 /);
    expect(parseBody(received)).toMatchObject({
      error: {code: 'request_timeout', message: 'body: did not arrive in time'},
    });
    await connection.closed;
  });

  it('closes connections that send no request or stay idle after one', async () => {
    const silent = await openRawConnection(system.entry.callers.address);
    const idle = await openRawConnection(system.entry.callers.address);
    idle.socket.write(`GET /v1/models HTTP/1.1\r\nhost: entry\r\n\r\n`);
    expect(await idle.closed).toMatch(/^HTTP\/1\.1 401 /);
    expect(await silent.closed).toMatch(/^HTTP\/1\.1 408 /);
  });

  it('disconnects a client that stops reading and cancels its generation', async () => {
    // The engine stand-in repeats the model name in each chunk, so a long name fills the buffers quickly.
    const model = 'm'.repeat(12_000);
    const state = {type: 'engine', models: ['score-reader', model], slots: 16};
    const changes = [{kind: 'endpointSet' as const, name: 'engines', state}];
    (await system.applyDraft({reason: 'a model with a long name', changes}))._unsafeUnwrap();
    const connection = await openRawConnection(system.entry.callers.address);
    const body = chatBody({model, stream: true, max_tokens: 10_000_000});
    system.engines[0]!.implementation.setSpeed({
      slots: 1,
      prefillTokensPerSecond: 1_000_000,
      interTokenMs: () => 1,
    });
    connection.socket.write(rawChatRequest(body, [`content-length: ${body.length}`]));
    await connection.waitForText(FIRST_TOKEN_PATTERN);
    connection.socket.pause();
    const isEngineIdle = () => system.engines[0]!.implementation.generationCount === 0;
    while (!isEngineIdle()) await wait(10);
    connection.socket.destroy();
  });
});

describe('clients that disconnect', () => {
  it('cancels running and queued work', async () => {
    const body = chatBody({stream: true, max_tokens: 1_000_000});
    const running = await openRawConnection(system.entry.callers.address);
    running.socket.write(rawChatRequest(body, [`content-length: ${body.length}`]));
    await running.waitForText(FIRST_TOKEN_PATTERN);
    const queued = await openRawConnection(system.entry.callers.address);
    queued.socket.write(rawChatRequest(body, [`content-length: ${body.length}`]));
    const {worker} = system.agents[0]!;
    while (worker.activeCount < 2) await wait(5);
    queued.socket.destroy();
    while (worker.activeCount > 1) await wait(5);
    expect(running.socket.destroyed).toBe(false);
    running.socket.destroy();
  });

  it('handles a disconnect before the body is complete', async () => {
    const connection = await openRawConnection(system.entry.callers.address);
    connection.socket.write(rawChatRequest('{"model"', ['content-length: 500']));
    await wait(20);
    connection.socket.destroy();
    const isGone = () => system.entry.callers.connectionCount() < MAX_CONNECTIONS;
    while (!isGone()) await wait(5);
  });
});

describe('listening on a port', () => {
  it('reports the port that is in use', async () => {
    const [, port] = splitAddress(system.entry.callers.address);
    const second = await startLocalSystem({port, operatorsPort: 0, logger: silentLogger});
    expect(second._unsafeUnwrapErr()).toBe(`127.0.0.1:${port} is in use by another process`);
  });
});

describe('too many connections', () => {
  it('refuses a connection above the limit and serves the next after others have closed', async () => {
    const connections = [];
    while (system.entry.callers.connectionCount() < MAX_CONNECTIONS) {
      connections.push(await openRawConnection(system.entry.callers.address));
      await wait(1);
    }
    const surplus = await openRawConnection(system.entry.callers.address);
    surplus.socket.write('GET /v1/models HTTP/1.1\r\nhost: entry\r\n\r\n');
    const received = await surplus.closed;
    expect(received).toMatch(/^HTTP\/1\.1 503 [\s\S]*retry_after_ms/i);
    expect(parseBody(received)).toMatchObject({error: {code: 'too_many_connections', ran: 'no'}});
    for (const {socket} of connections) socket.destroy();
    while (system.entry.callers.connectionCount() > 0) await wait(5);
    expect((await send('GET', '/v1/models')).status).toBe(200);
  });
});
