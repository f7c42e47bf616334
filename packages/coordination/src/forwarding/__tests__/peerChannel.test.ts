import {createSocket, type Socket} from 'node:dgram';
import {flushPromises, silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {afterEach, describe, expect, test} from 'vitest';
import {splitStatement} from '../../duties/usageStatement.js';
import {type PeerUpdate, peerUpdateSchema} from '../peerMessages.js';
import {PeerChannel} from '../peerChannel.js';

const resources: {close(): void}[] = [];

afterEach(() => {
  for (const resource of resources.splice(0)) resource.close();
});

function openChannel(onUpdate: (update: PeerUpdate) => void = () => undefined) {
  const clock = new VirtualClock();
  const options = {clock, logger: silentLogger, self: 'a', address: '127.0.0.1:0', onUpdate};
  const channel = new PeerChannel(options);
  resources.push({
    close: () => {
      channel[Symbol.dispose]();
    },
  });
  return {clock, channel};
}

/** A peer that collects the messages it receives. */
async function openPeer(): Promise<{readonly address: string; readonly messages: string[]}> {
  const socket: Socket = createSocket('udp4');
  resources.push(socket);
  const messages: string[] = [];
  socket.on('message', (message) => messages.push(message.toString()));
  await new Promise<void>((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  return {address: `127.0.0.1:${socket.address().port}`, messages};
}

/** Bytes of a datagram that fit into one packet of an Ethernet link. */
const MAX_PACKET_BYTES = 1472;

function parseUpdate(message: string): PeerUpdate {
  const {params} = JSON.parse(message) as {params: unknown};
  return peerUpdateSchema.parse(params);
}

/** Nothing is sent before the socket is bound. */
async function waitUntilBound(channel: PeerChannel, messages: string[]): Promise<void> {
  while (messages.length === 0) {
    channel.sendTo('b', {});
    await flushPromises();
  }
  await flushPromises();
  messages.length = 0;
}

function createNames(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `${prefix}${index}`);
}

/** A request whose prompt has a number of shared parts, with identifiers of eight hexadecimal digits. */
function createSentRequest(id: string, count: number): PeerUpdate['sent'][number] {
  const parts = Array.from({length: count}, (_, part): [string, number] => [
    (0x5c1e0000 + part).toString(16),
    8,
  ]);
  return [id, 'e1', 100, 800, 80, 0, parts];
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await flushPromises();
}

describe('updates between instances', () => {
  test('are batched, and reach each peer once', async () => {
    const {clock, channel} = openChannel();
    const peer = await openPeer();
    channel.add('b', peer.address);
    channel.publishFirstEvent('r1');
    channel.publishEnded('r1');
    await clock.advance(10);
    await waitUntil(() => peer.messages.length > 0);
    expect(peer.messages).toHaveLength(1);
    expect(JSON.parse(peer.messages[0]!)).toMatchObject({params: {begun: ['r1'], ended: ['r1']}});
  });

  test('take speeds along without being sent for them', async () => {
    const {clock, channel} = openChannel();
    const peer = await openPeer();
    channel.add('b', peer.address);
    channel.publishSpeed(['e1', 1, 1.5]);
    channel.publishSpeed(['e1', 1, 2]);
    await clock.advance(1000);
    channel.publishFirstEvent('r1');
    await clock.advance(10);
    await waitUntil(() => peer.messages.length > 0);
    expect(peer.messages).toHaveLength(1);
    expect(JSON.parse(peer.messages[0]!)).toMatchObject({
      params: {begun: ['r1'], speeds: [['e1', 1, 2]]},
    });
  });

  // Guards against the loss of a whole update over one number that is legal at its sender.
  test.each([0, 0.001, 1e6])('with the speed %d reach the peer', async (ratio) => {
    const {clock, channel} = openChannel();
    const peer = await openPeer();
    channel.add('b', peer.address);
    await waitUntilBound(channel, peer.messages);
    channel.publishSpeed(['e1', 1, ratio]);
    channel.publishEnded('r1');
    await clock.advance(10);
    await waitUntil(() => peer.messages.length > 0);
    expect(parseUpdate(peer.messages[0]!).ended).toEqual(['r1']);
  });

  // Guards against an endless recursion on entries that do not fit into one datagram.
  test('of a prompt with many parts beside another request reach the peer', async () => {
    const {clock, channel} = openChannel();
    const peer = await openPeer();
    channel.add('b', peer.address);
    await waitUntilBound(channel, peer.messages);
    channel.publishSent(createSentRequest('r1', 100));
    channel.publishFirstEvent('r2');
    await clock.advance(10);
    const updates = () => peer.messages.map(parseUpdate);
    await waitUntil(() => updates().some(({begun}) => begun.includes('r2')));
    const [[id, , , , , , parts] = []] = updates().flatMap(({sent}) => sent);
    expect(id).toBe('r1');
    expect(parts).toEqual(createSentRequest('r1', 100)[6].slice(0, parts?.length));
    expect(parts?.length).toBeGreaterThan(50);
    for (const message of peer.messages)
      expect(Buffer.byteLength(message)).toBeLessThanOrEqual(MAX_PACKET_BYTES);
  });

  // Guards against an endless recursion, and against entries that are told to some peers only.
  test('with entries of any size are sent whole', async () => {
    const {clock, channel} = openChannel();
    const peer = await openPeer();
    channel.add('b', peer.address);
    await waitUntilBound(channel, peer.messages);
    const ids = ['é'.repeat(700), 'x'.repeat(16_000), ...createNames('r', 200)];
    for (const id of ids) channel.publishEnded(id);
    for (const id of createNames('e', 200)) channel.publishSlowness(id, 2);
    await clock.advance(10);
    const ended = () => peer.messages.flatMap((message) => parseUpdate(message).ended);
    await waitUntil(() => ended().length === ids.length);
    expect(ended().toSorted()).toEqual(ids.toSorted());
  });

  test('go to a limited number of peers in a large fleet', async () => {
    const {clock, channel} = openChannel();
    const peer = await openPeer();
    for (let number = 1; number <= 300; number += 1) channel.add(`p${number}`, peer.address);
    expect(channel.size).toBe(300);
    channel.publishFirstEvent('r1');
    await clock.advance(1000);
    await waitUntil(() => peer.messages.length >= 40);
    for (let turn = 0; turn < 50; turn += 1) await flushPromises();
    expect(peer.messages).toHaveLength(40);
  });

  test('state request counts to one peer, in a datagram that is not fragmented', async () => {
    const {channel} = openChannel();
    const peer = await openPeer();
    channel.add('b', peer.address);
    const counts = Array.from({length: 200}, (_, index): [string, number] => [`k${index}`, index]);
    const fields = {instance: 'a', lifetime: '1', isHolder: false, since: 1, finalThrough: 7};
    const parts = splitStatement({...fields, recorded: [], windows: [[8, 19_900, counts]]});
    // Nothing is sent before the socket is bound.
    while (peer.messages.length === 0) {
      channel.sendTo('b', {usage: parts});
      await flushPromises();
    }
    await waitUntil(() => peer.messages.length >= parts.length);
    const sent = peer.messages.slice(0, parts.length);
    expect(Math.max(...sent.map((message) => message.length))).toBeLessThanOrEqual(1200);
    const usage = sent.flatMap((message) => {
      const {params} = JSON.parse(message) as {params: unknown};
      return peerUpdateSchema.parse(params).usage;
    });
    expect(usage).toEqual(parts);
  });
});
