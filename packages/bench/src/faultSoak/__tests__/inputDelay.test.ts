import {EventEmitter, once} from 'node:events';
import {type AddressInfo, connect, createServer, type Socket} from 'node:net';
import {VirtualClock, systemClock} from '@marigoldfold/runtime';
import {expect, test} from 'vitest';
import {InputDelay} from '../inputDelay.js';

/** An `InputDelay` in virtual time, with a server that accepts connections on demand. */
function create() {
  const clock = new VirtualClock();
  const afterPoll: (() => void)[] = [];
  const delay = new InputDelay({clock, afterPoll: (action) => afterPoll.push(action)});
  const server = new EventEmitter();
  const queue = delay.watch(server);
  return {
    clock,
    delay,
    queue,
    poll: async (passedMs: number, accepts: boolean) => {
      await clock.advance(passedMs);
      if (accepts) server.emit('connection');
      for (const action of afterPoll.splice(0)) action();
    },
  };
}

test('a connection may have waited since the last poll that accepted none', async () => {
  const {queue, poll} = create();
  await poll(20, false);
  expect(queue.waitMs).toBe(0);
  await poll(20, true);
  await poll(20, true);
  expect(queue.waitMs).toBe(40);
  await poll(20, false);
  expect(queue.waitMs).toBe(0);
});

test('a lag counts from the moment at which it is too long, and is remembered', async () => {
  let now = 0;
  const clock = new VirtualClock();
  const schedule = (delayMs: number, action: () => void) => clock.schedule(delayMs, action);
  const delay = new InputDelay({clock: {now: () => now, schedule}});
  now = 120;
  expect(delay.lastLagAtMs).toBe(Number.NEGATIVE_INFINITY);
  now = 121;
  expect(delay.lastLagAtMs).toBe(121);
  await clock.advance(20);
  now = 130;
  expect(delay.lastLagAtMs).toBe(121);
});

// Sixteen connections that arrive together wait for sixteen turns of the loop, although no turn is long.
test('the bound covers the time that connections wait to be accepted in a busy process', async () => {
  using delay = new InputDelay({clock: systemClock});
  const server = createServer();
  const queue = delay.watch(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const boundsMs: number[] = [];
  const waitsMs: number[] = [];
  const sockets: Socket[] = [];
  const busy = setInterval(() => {
    const endMs = Date.now() + 30;
    while (Date.now() < endMs);
  }, 1);
  const startedAtMs = Date.now();
  server.on('connection', (socket) => {
    sockets.push(socket);
    boundsMs.push(queue.waitMs);
    waitsMs.push(Date.now() - startedAtMs);
  });
  for (let count = 0; count < 16; count += 1) sockets.push(connect(port, '127.0.0.1'));
  while (waitsMs.length < 16) await new Promise(setImmediate);
  clearInterval(busy);
  for (const socket of sockets) socket.destroy();
  server.close();
  expect(waitsMs.at(-1)).toBeGreaterThan(300);
  for (const [index, waitMs] of waitsMs.entries()) {
    expect(boundsMs[index]).toBeGreaterThanOrEqual(waitMs);
  }
});
