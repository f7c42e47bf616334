import {type AddressInfo, createServer, type Server} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {isListening} from '../portCheck.js';

const TIMEOUT_MS = 50;

let server: Server;
let address: string;

beforeEach(async () => {
  server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
  server.close();
});

// Guards against taking an endpoint for unreachable because this process itself was held up.
test('a connection that was accepted while the event loop was blocked counts', async () => {
  const result = isListening(address, TIMEOUT_MS);
  const endMs = performance.now() + 2 * TIMEOUT_MS;
  while (performance.now() < endMs);
  expect(await result).toBe(true);
});

test('a refused connection shows that nothing listens', async () => {
  await new Promise((resolve) => server.close(resolve));
  expect(await isListening(address, TIMEOUT_MS)).toBe(false);
});
