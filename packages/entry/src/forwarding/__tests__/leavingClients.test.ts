import {connect, type Socket} from 'node:net';
import {settle} from '@marigoldfold/runtime';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {answerWell, startWith} from '../__fixtures__/endpointScripts.js';
import {ForwardRig, until} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

function requestText(id: string): string {
  return `GET /x HTTP/1.1\r\nhost: a.example\r\nx-id: ${id}\r\nx-key: key-1\r\n\r\n`;
}

/** Sends a request on a connection of its own and closes it in the same turn of the event loop. */
function askAndLeave(id: string): Socket {
  const socket = connect(rig.process.clientPort, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.end(requestText(id));
  return socket;
}

/** Lets the router keep connections to its endpoints, on which a request leaves at once. */
async function warmUp(count: number): Promise<void> {
  await Promise.all(Array.from({length: count}, (_, index) => rig.ask({'x-id': `warm-${index}`})));
}

function idsSeen(seen: () => readonly {request: {headers: NodeJS.Dict<unknown>}}[]): string[] {
  return seen().map(({request}) => String(request.headers['x-id']));
}

describe('a request whose client had left before it was read is sent to an endpoint', () => {
  test('when the close stands right behind it', async () => {
    const {seen} = await startWith(rig, answerWell);
    await warmUp(16);
    const before = seen().length;
    const sockets = Array.from({length: 16}, (_, index) => askAndLeave(`left-${index}`));
    await until(() => sockets.every((socket) => socket.destroyed));
    await settle();
    expect(idsSeen(seen).slice(before)).toEqual([]);
  });

  test('when clients that stay connect at the same time', async () => {
    const {seen} = await startWith(rig, answerWell);
    await warmUp(16);
    const before = seen().length;
    const results: Promise<{status: number}>[] = [];
    const sockets: Socket[] = [];
    for (let index = 0; index < 24; index += 1) {
      sockets.push(askAndLeave(`left-${index}`));
      results.push(rig.ask({'x-id': `stays-${index}`}));
    }
    for (const result of results) expect((await result).status).toBe(200);
    await until(() => sockets.every((socket) => socket.destroyed));
    expect(
      idsSeen(seen)
        .slice(before)
        .filter((id) => id.startsWith('left')),
    ).toEqual([]);
  });
});
