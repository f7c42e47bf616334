import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {createFaultyKeyValue, MemoryKeyValue, type StoreFault} from '@marigoldfold/standin';
import {
  advanceHead,
  type DecidedTicket,
  decideTicket,
  decidedTickets,
  generateMonitorKey,
  createInitialHead,
  groupShards,
  type ChainHead,
  type KeyValue,
  maxValueBytes,
  openRecord,
  verifySnapshot,
  readManifest,
  readSnapshot,
  shardCount,
  type Ticket,
} from '@marigoldfold/state';
import {beforeAll, describe, expect, it, vi} from 'vitest';
import {ConfigurationFeed} from '../configurationFeed.js';
import {RecordCompactor, uncompactedTickets} from '../spread/recordCompactor.js';

// Nothing here depends on time; the timeout allows for a slow machine.
vi.setConfig({testTimeout: 120_000});

const TICKETS = 1100;
const SERVICE_LIMIT_BYTES = 1_048_576;
const clock = new VirtualClock();
const monitor = generateMonitorKey();
const decided: DecidedTicket[] = [];
let head: ChainHead = createInitialHead(monitor.publicKey);

beforeAll(() => {
  while (decided.length < TICKETS) {
    const ticket: Ticket = {
      number: head.number + 1,
      id: `id-${head.number + 1}`,
      previousDigest: head.digest,
      base: head.number,
      author: 'ada',
      reason: 'one of many',
      proposedAtMs: 0,
      changes: [
        {
          kind: 'endpointSet',
          name: `set-${head.number % 50}`,
          state: {type: 'engine', slots: head.number + 1},
        },
      ],
    };
    const options = {privateKeyPem: monitor.privateKeyPem, decidedAtMs: 0};
    const decision = decideTicket(head, ticket, 'approved', options)._unsafeUnwrap();
    head = advanceHead(head, {ticket, decision})._unsafeUnwrap();
    decided.push({ticket, decision});
  }
}, 60_000);

function createFeed() {
  const feed = new ConfigurationFeed({monitorKey: monitor.publicKey, clock, logger: silentLogger});
  feed.acceptAll(decided)._unsafeUnwrap();
  return feed;
}

async function createStore(): Promise<MemoryKeyValue> {
  const store = new MemoryKeyValue(clock);
  const record = openRecord(store);
  for (const {ticket, decision} of decided) {
    (await record.propose(ticket, () => true))._unsafeUnwrap();
    (await record.decide(decision, () => true))._unsafeUnwrap();
  }
  return store;
}

function createCompactor(store: KeyValue, feed: ConfigurationFeed) {
  return new RecordCompactor({store, feed, random: () => 0, logger: silentLogger});
}

async function readWhole(store: KeyValue): Promise<readonly DecidedTicket[]> {
  const whole: DecidedTicket[] = [];
  while (true) {
    const page = (await openRecord(store).read(whole.length))._unsafeUnwrap();
    const pairs = decidedTickets(page);
    if (pairs.length === 0) return whole;
    whole.push(...pairs);
  }
}

async function compactFully(store: KeyValue, feed: ConfigurationFeed) {
  const compactor = createCompactor(store, feed);
  for (let round = 0; round < 6; round += 1) await compactor.compact();
  return (await readManifest(store))._unsafeUnwrap().manifest;
}

describe('compaction of the record', () => {
  it('covers all but the newest tickets, and every ticket remains readable', async () => {
    const store = await createStore();
    const manifest = await compactFully(store, createFeed());
    expect(manifest.foldedThrough).toBe(512);
    expect(manifest.snapshot).toBe(TICKETS);
    expect(await readWhole(store)).toEqual(decided);
    const uncompacted = (await store.list('tickets/'))._unsafeUnwrap().entries;
    expect(uncompacted).toHaveLength(TICKETS - manifest.foldedThrough);
    expect(uncompacted.length).toBeGreaterThanOrEqual(uncompactedTickets);
    for (const prefix of ['segments/', 'snapshots/', 'archive/']) {
      for (const {value} of (await store.list(prefix))._unsafeUnwrap().entries) {
        expect(Buffer.byteLength(value)).toBeLessThan(SERVICE_LIMIT_BYTES);
      }
    }
  });

  it('by two processes at the same time leaves the same record', async () => {
    const store = await createStore();
    const feed = createFeed();
    const both = [createCompactor(store, feed), createCompactor(store, feed)];
    for (let round = 0; round < 4; round += 1) {
      await Promise.all(both.map((compactor) => compactor.compact()));
    }
    expect(await readWhole(store)).toEqual(decided);
  });

  const failures: readonly StoreFault[] = ['refused', 'request-lost', 'answer-lost'];
  const steps = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 200, 400];
  it.each(failures)(
    'interrupted at any step (%s) loses nothing and completes later',
    async (fault) => {
      const store = await createStore();
      const feed = createFeed();
      for (const step of steps) {
        let isInterrupted = false;
        const interrupted = createFaultyKeyValue({
          clock,
          store,
          chooseFault: ({number}) => {
            isInterrupted ||= number === step;
            if (number === step) return fault;
            return isInterrupted ? 'refused' : 'none';
          },
        });
        await createCompactor(interrupted, feed).compact();
        expect(await readWhole(store)).toEqual(decided);
      }
      expect((await compactFully(store, feed)).foldedThrough).toBe(512);
      expect(await readWhole(store)).toEqual(decided);
    },
  );
});

describe('a snapshot in the key-value service', () => {
  it('restores the signed state', async () => {
    const store = await createStore();
    await compactFully(store, createFeed());
    const snapshot = (await readSnapshot(store))._unsafeUnwrap()!;
    const opened = verifySnapshot(snapshot, monitor.publicKey)._unsafeUnwrap();
    expect(opened.configuration.digest).toBe(head.configuration.digest);
    expect(opened.digest).toBe(head.digest);
  });

  it('that was altered or signed with another key is rejected', async () => {
    const store = await createStore();
    await compactFully(store, createFeed());
    const snapshot = (await readSnapshot(store))._unsafeUnwrap()!;
    const index = snapshot.shards.findIndex(({objects}) => objects.length > 0);
    const emptied = snapshot.shards.with(index, {objects: [], numbers: [], removals: []});
    expect(verifySnapshot({...snapshot, shards: emptied}, monitor.publicKey).isErr()).toBe(true);
    expect(verifySnapshot(snapshot, generateMonitorKey().publicKey).isErr()).toBe(true);
  });

  it('is split into groups within the size limit, in the order of the shards', () => {
    const shard = {
      objects: Array.from({length: 200}, (_, index) => ({
        kind: 'account' as const,
        name: `account-${index}`,
        state: {text: 'x'.repeat(200)},
      })),
      numbers: Array<number>(200).fill(1),
      removals: [],
    };
    const shards = Array.from({length: shardCount}, () => shard);
    const groups = groupShards(shards);
    expect(groups.flat()).toEqual(shards);
    for (const group of groups) {
      expect(Buffer.byteLength(JSON.stringify(group))).toBeLessThan(maxValueBytes);
    }
  });
});
