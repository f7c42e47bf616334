import {Agent, get, type IncomingMessage} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {type HttpServer, listen, serverLimitsSchema} from '../httpServer.js';

/** A server whose responses to `/slow` start immediately and end when `finish` is called. */
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

async function readText(response: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of response) text += String(chunk);
  return text;
}

describe('draining a server', () => {
  it('finishes although a client keeps an idle connection open', async () => {
    const {server} = await startServer();
    const agent = new Agent({keepAlive: true});
    expect(await readText(await sendGet(server, '/', agent))).toBe('end');
    expect(server.connectionCount()).toBe(1);
    await server.drain();
    expect(server.connectionCount()).toBe(0);
  });

  it('waits for a stream in flight, but not for its keep-alive connection', async () => {
    const {server, finish} = await startServer();
    const agent = new Agent({keepAlive: true});
    const response = await sendGet(server, '/slow', agent);
    let isDrained = false;
    const draining = server.drain().then(() => {
      isDrained = true;
    });
    await wait(100);
    expect(isDrained).toBe(false);
    finish();
    expect(await readText(response)).toBe('begin end');
    await draining;
    await expect(sendGet(server, '/', new Agent())).rejects.toThrow('ECONNREFUSED');
  });

  it('disableKeepAlive continues to serve requests and sends connection: close', async () => {
    const {server} = await startServer();
    const agent = new Agent({keepAlive: true});
    const before = await sendGet(server, '/', agent);
    expect(before.headers.connection).toBe('keep-alive');
    await readText(before);
    server.disableKeepAlive();
    const after = await sendGet(server, '/', agent);
    expect(after.headers.connection).toBe('close');
    expect(await readText(after)).toBe('end');
    await server.drain();
  });
});
