import {expect, test} from 'vitest';
import {reservePort} from '../routerProcess.js';

test('the ports of the routers of a soak differ', async () => {
  const ports = await Promise.all(Array.from({length: 800}, reservePort));
  expect(new Set(ports).size).toBe(ports.length);
});
