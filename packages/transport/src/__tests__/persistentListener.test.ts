import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {silentLogger, systemClock} from '@marigoldfold/runtime';
import {expect, test} from 'vitest';
import {listenPersistently} from '../persistentListener.js';

const host = '127.0.0.1';

test('a server does not end the process when it cannot accept a connection', async () => {
  const server = createServer();
  const failures: string[] = [];
  const logger = {...silentLogger, error: (message: string) => failures.push(message)};
  const {signal} = new AbortController();
  await listenPersistently(server, {clock: systemClock, logger, host, port: 0, signal});
  server.emit('error', new Error('accept EMFILE'));
  server.emit('error', new Error('accept EMFILE'));
  expect(failures).toEqual(['server failed', 'server failed']);
  server.close();
});

test('the wait for an address ends when the server is not needed any more', async () => {
  const other = createServer().listen(0, host);
  await once(other, 'listening');
  const {port} = other.address() as AddressInfo;
  const server = createServer();
  const controller = new AbortController();
  const {signal} = controller;
  const listening = listenPersistently(server, {
    clock: systemClock,
    logger: silentLogger,
    host,
    port,
    signal,
  });
  controller.abort();
  expect(await listening).toBe(false);
  other.close();
});
