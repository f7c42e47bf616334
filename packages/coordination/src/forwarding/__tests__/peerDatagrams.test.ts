import {MAX_COUNT} from '@marigoldfold/state';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {encodeUpdate} from '../peerDatagrams.js';
import {emptyUpdate, type PeerUpdate, peerUpdateSchema} from '../peerMessages.js';

/** Bytes of a datagram that fit into one packet of an Ethernet link. */
const MAX_PACKET_BYTES = 1472;

const text = fc.oneof(
  fc.string({unit: 'binary', maxLength: 60}),
  fc.string({unit: 'binary', minLength: 500, maxLength: 3000}),
);
const tokens = fc.nat(MAX_COUNT);
const part = fc.tuple(text, tokens);
const sent = fc.tuple(text, text, tokens, tokens, tokens, tokens, fc.array(part, {maxLength: 60}));

const updates = fc.record({
  sent: fc.array(sent, {maxLength: 4}),
  begun: fc.array(text),
  ended: fc.array(text),
  slowness: fc.array(part),
  unreachable: fc.array(text),
  crashes: fc.array(fc.record({lifetime: text, parts: fc.array(text, {maxLength: 60})})),
});

function decode(datagram: Buffer): PeerUpdate {
  const {params} = JSON.parse(datagram.toString()) as {params: unknown};
  return peerUpdateSchema.parse(params);
}

/** Parts of the crashes by lifetime. */
function collectCrashes(crashes: PeerUpdate['crashes']) {
  const parts = new Map<string, string[]>();
  for (const crash of crashes)
    parts.set(crash.lifetime, [...(parts.get(crash.lifetime) ?? []), ...crash.parts]);
  return [...parts].filter(([, found]) => found.length > 0);
}

test('every entry of an update is in one datagram, in its order, and only long ones are larger', () => {
  fc.assert(
    fc.property(updates, (lists) => {
      const update = {...emptyUpdate('a'), ...lists};
      const datagrams = encodeUpdate(update, () => expect.fail('an entry was left out'));
      const decoded = datagrams.map(decode);
      for (const name of ['begun', 'ended', 'slowness', 'unreachable'] as const)
        expect(decoded.flatMap((one) => one[name] as readonly unknown[])).toEqual(update[name]);
      const decodedSent = decoded.flatMap((one) => one.sent);
      expect(decodedSent.map(([id]) => id)).toEqual(update.sent.map(([id]) => id));
      for (const [index, [, , , , , , parts]] of decodedSent.entries())
        expect(parts).toEqual(update.sent[index]?.[6].slice(0, parts.length));
      expect(collectCrashes(decoded.flatMap(({crashes}) => crashes))).toEqual(
        collectCrashes(update.crashes),
      );
      for (const [index, datagram] of datagrams.entries())
        if (datagram.length > MAX_PACKET_BYTES) expect(countEntries(decoded[index])).toBe(1);
    }),
    {seed: 6, numRuns: 200},
  );
});

function countEntries(update: PeerUpdate | undefined): number {
  return Object.values(update ?? {}).reduce<number>(
    (sum, list) => sum + (Array.isArray(list) ? list.length : 0),
    0,
  );
}

test('an entry that no datagram can hold is left out, and the others are sent', () => {
  const update = {...emptyUpdate('a'), ended: ['r1', 'x'.repeat(70_000), 'r2']};
  const tooLong: number[] = [];
  const datagrams = encodeUpdate(update, (bytes) => tooLong.push(bytes));
  expect(datagrams.flatMap((datagram) => decode(datagram).ended)).toEqual(['r1', 'r2']);
  expect(tooLong).toHaveLength(1);
});
