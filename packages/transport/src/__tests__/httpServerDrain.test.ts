import {Agent, get, type IncomingMessage} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {type HttpServer, listen, serverLimitsSchema} from '../httpServer.js';

/** A server whose answers to `/slow` begin at once and end when told to. */
async function startServer() {
  let finish: () => void = () => undefined;
  const released = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const started = await listen({
    host: '127.0.0.1',
    port: 0,
    limits: serverLimitsSchema.parse({}),
    async handle(request, response) {
      if (request.url === '/slow') {
        response.write('begin ');
        await released;
      }
      response.end('end');
    },
    onUnhandledError: () => undefined,
  });
  return {
    server: started._unsafeUnwrap(),
    finish: () => {
      finish();
    },
  };
}

function sendGet(server: HttpServer, path: string, agent: Agent): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    get({host: '127.0.0.1', port: server.port, path, agent}, resolve).on('error', reject);
  });
}

async function textOf(answer: IncomingMessage): Promise<string> {
  let text = '';
  for await (const part of answer) text += String(part);
  return text;
}

describe('draining a server', () => {
  it('ends although a client keeps an idle connection', async () => {
    const {server} = await startServer();
    const agent = new Agent({keepAlive: true});
    expect(await textOf(await sendGet(server, '/', agent))).toBe('end');
    expect(server.connectionCount()).toBe(1);
    await server.drain();
    expect(server.connectionCount()).toBe(0);
  });

  it('lets a stream in flight end, and then does not wait for its kept connection', async () => {
    const {server, finish} = await startServer();
    const agent = new Agent({keepAlive: true});
    const answer = await sendGet(server, '/slow', agent);
    let isOver = false;
    const draining = server.drain().then(() => {
      isOver = true;
    });
    await wait(100);
    expect(isOver).toBe(false);
    finish();
    expect(await textOf(answer)).toBe('begin end');
    await draining;
    await expect(sendGet(server, '/', new Agent())).rejects.toThrow('ECONNREFUSED');
  });

  it('after it has said that it leaves, it serves and asks clients to close', async () => {
    const {server} = await startServer();
    const agent = new Agent({keepAlive: true});
    const before = await sendGet(server, '/', agent);
    expect(before.headers.connection).toBe('keep-alive');
    await textOf(before);
    server.disableKeepAlive();
    const after = await sendGet(server, '/', agent);
    expect(after.headers.connection).toBe('close');
    expect(await textOf(after)).toBe('end');
    await server.drain();
  });
});
