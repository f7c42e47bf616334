import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {createHttpClient} from '@marigoldfold/transport';
import {afterEach, describe, expect, test} from 'vitest';
import {createEtcdKeyValue} from '../etcdKeyValue.js';
import {encodeText} from '../etcdMessages.js';

const cleanups: (() => void)[] = [];

afterEach(() => {
  for (const cleanUp of cleanups.splice(0)) cleanUp();
});

const created = `${JSON.stringify({result: {header: {revision: '4'}, created: true}})}\n`;

/** Watches a service that sends what the script writes after its response headers. */
async function watchScripted(write: (response: ServerResponse) => Promise<void> | void) {
  const server = createServer((_request, response) => {
    response.writeHead(200);
    response.flushHeaders();
    void write(response);
  });
  cleanups.push(() => {
    server.closeAllConnections();
    server.close();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  using client = createHttpClient();
  const keyValue = createEtcdKeyValue({client, address, timeoutMs: 400});
  return await keyValue.watch('a/', {afterRevision: {era: 0, number: 4}, timeoutMs: 50});
}

describe('a watch of etcd', () => {
  test('ends without changes when its timeout passes after it was confirmed', async () => {
    const result = await watchScripted((response) => void response.write(created));
    expect(result._unsafeUnwrap()).toEqual({entries: [], revision: {era: 0, number: 4}});
  });

  test('confirms nothing if the service has not confirmed the watch', async () => {
    const result = await watchScripted(() => undefined);
    expect(result._unsafeUnwrapErr().code).toBe('timed_out');
  });

  test('reads a change whose message takes longer than the timeout', async () => {
    const kv = {key: encodeText('a/1'), value: encodeText('x'.repeat(500)), mod_revision: '5'};
    const message = `${JSON.stringify({result: {header: {revision: '5'}, events: [{kv}]}})}\n`;
    const result = await watchScripted(async (response) => {
      response.write(created);
      for (let from = 0; from < message.length; from += 100) {
        response.write(message.slice(from, from + 100));
        await delay(20);
      }
    });
    expect(result._unsafeUnwrap().entries).toHaveLength(1);
  });

  test('gives up a message that stalls', async () => {
    const result = await watchScripted((response) => void response.write(`${created}{"result"`));
    expect(result._unsafeUnwrapErr().code).toBe('timed_out');
  });

  test('states that the history is lost when the revision was compacted', async () => {
    const canceled = {header: {revision: '9'}, canceled: true, compact_revision: '8'};
    const result = await watchScripted(
      (response) => void response.write(`${JSON.stringify({result: canceled})}\n`),
    );
    expect(result._unsafeUnwrapErr().code).toBe('history_lost');
  });
});
