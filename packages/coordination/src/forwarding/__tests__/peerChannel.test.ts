import {createSocket, type Socket} from 'node:dgram';
import {settle, silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {afterEach, describe, expect, test} from 'vitest';
import type {PeerUpdate} from '../peerMessages.js';
import {PeerChannel} from '../peerChannel.js';

const opened: {close(): void}[] = [];

afterEach(() => {
  for (const one of opened.splice(0)) one.close();
});

function openExchange(onUpdate: (news: PeerUpdate) => void = () => undefined) {
  const clock = new VirtualClock();
  const options = {clock, logger: silentLogger, self: 'a', address: '127.0.0.1:0', onUpdate};
  const exchange = new PeerChannel(options);
  opened.push({
    close: () => {
      exchange[Symbol.dispose]();
    },
  });
  return {clock, exchange};
}

/** A peer that counts what it is told. */
async function openPeer(): Promise<{readonly address: string; readonly messages: string[]}> {
  const socket: Socket = createSocket('udp4');
  opened.push(socket);
  const messages: string[] = [];
  socket.on('message', (message) => messages.push(message.toString()));
  await new Promise<void>((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  return {address: `127.0.0.1:${socket.address().port}`, messages};
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await settle();
}

describe('news between instances', () => {
  test('are gathered, and reach each peer once', async () => {
    const {clock, exchange} = openExchange();
    const peer = await openPeer();
    exchange.add('b', peer.address);
    exchange.publishFirstEvent('r1');
    exchange.publishEnded('r1');
    await clock.advance(10);
    await until(() => peer.messages.length > 0);
    expect(peer.messages).toHaveLength(1);
    expect(JSON.parse(peer.messages[0]!)).toMatchObject({params: {begun: ['r1'], ended: ['r1']}});
  });

  test('go to so many peers at most, however many there are', async () => {
    const {clock, exchange} = openExchange();
    const peer = await openPeer();
    for (let number = 1; number <= 300; number += 1) exchange.add(`p${number}`, peer.address);
    expect(exchange.size).toBe(300);
    exchange.publishFirstEvent('r1');
    await clock.advance(1000);
    await until(() => peer.messages.length >= 40);
    for (let turn = 0; turn < 50; turn += 1) await settle();
    expect(peer.messages).toHaveLength(40);
  });
});
