import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  advanceHead,
  type Change,
  Configuration,
  decideTicket,
  type Decision,
  digestValue,
  findConflict,
  generateMonitorKey,
  createInitialHead,
  type ChainHead,
  type MonitorKeyPair,
  removalRetentionTickets,
  shardCount,
  signDecision,
  type Ticket,
  ticketDigest,
} from '../index.js';

const monitor = generateMonitorKey();

function ticketAfter(head: ChainHead, changes: readonly Change[], base = head.number): Ticket {
  return {
    number: head.number + 1,
    id: `id-${head.number + 1}`,
    previousDigest: head.digest,
    base,
    author: 'ada',
    reason: 'test',
    proposedAtMs: 0,
    changes: [...changes],
  };
}

function decide(
  head: ChainHead,
  ticket: Ticket,
  verdict: Decision['verdict'] = 'approved',
  key: MonitorKeyPair = monitor,
): Decision {
  const {privateKeyPem} = key;
  return decideTicket(head, ticket, verdict, {privateKeyPem, decidedAtMs: 0})._unsafeUnwrap();
}

function approveChanges(head: ChainHead, changes: readonly Change[], key = monitor): ChainHead {
  const ticket = ticketAfter(head, changes);
  return advanceHead(head, {
    ticket,
    decision: decide(head, ticket, 'approved', key),
  })._unsafeUnwrap();
}

function account(name: string, requestsPerSecond = 1): Change {
  const state = {
    keyDigests: ['0'.repeat(64)],
    classes: ['standard'],
    defaultClass: 'standard',
    requestsPerSecond,
    burst: 1,
    concurrency: 1,
  };
  return {kind: 'account', name, state};
}

interface ReferenceObject {
  readonly state: unknown;
  readonly number: number;
}

/** Digest of a reference model: the newest state of each object, without shards. */
function referenceDigest(objects: ReadonlyMap<string, ReferenceObject>): string {
  const keys = [...objects.keys()].sort();
  return digestValue(keys.map((key) => [key, objects.get(key)]));
}

const changeArbitrary = fc.record({
  name: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
  rate: fc.integer({min: 1, max: 5}),
  isRemoval: fc.boolean(),
  lag: fc.integer({min: 0, max: 3}),
  verdict: fc.constantFrom<Decision['verdict']>('approved', 'approved', 'rejected'),
});

describe('the configuration after a chain of tickets', () => {
  it('matches a reference model for random tickets', () => {
    fc.assert(
      fc.property(fc.array(changeArbitrary, {maxLength: 25}), (steps) => {
        let head = createInitialHead(monitor.publicKey);
        const objects = new Map<string, ReferenceObject>();
        const lastChange = new Map<string, number>();
        const digests = new Map<string, string>();
        for (const {name, rate, isRemoval, lag, verdict} of steps) {
          const change = isRemoval ? {...account(name), state: null} : account(name, rate);
          const base = Math.max(0, head.number - lag);
          const ticket = ticketAfter(head, [change], base);
          const isStale = (lastChange.get(name) ?? 0) > base;
          expect(findConflict(head.configuration, ticket) !== undefined).toBe(isStale);
          const next = advanceHead(head, {ticket, decision: decide(head, ticket, verdict)});
          expect(next.isErr()).toBe(isStale && verdict === 'approved');
          if (next.isErr()) continue;
          head = next.value;
          if (verdict === 'rejected') continue;
          if (isRemoval) {
            if (objects.delete(name)) lastChange.set(name, ticket.number);
          } else {
            objects.set(name, {state: change.state, number: ticket.number});
            lastChange.set(name, ticket.number);
          }
          // Equal configuration digests imply equal reference digests. The reference includes
          // removals because the configuration keeps them too.
          const removed = [...lastChange].filter(([key]) => !objects.has(key));
          const reference = digestValue([referenceDigest(objects), removed.sort()]);
          const previousReference = digests.get(head.configuration.digest);
          expect(previousReference === undefined || previousReference === reference).toBe(true);
          digests.set(head.configuration.digest, reference);
        }
        const names = [...head.configuration.all('account').keys()].sort();
        expect(names).toEqual([...objects.keys()].sort());
        for (const [name, {state, number}] of objects) {
          expect(head.configuration.find('account', name)).toMatchObject({rawState: state, number});
        }
      }),
      {seed: 5, numRuns: 200},
    );
  });

  it('has the signed digest when loaded from a snapshot, and a different digest when the snapshot was altered', () => {
    let head = createInitialHead(monitor.publicKey);
    for (const name of ['a', 'b', 'c', 'd']) head = approveChanges(head, [account(name)]);
    head = approveChanges(head, [{...account('b'), state: null}]);
    const shards = Array.from({length: shardCount}, (_, index) => head.configuration.shard(index));
    expect(Configuration.load(shards).digest).toBe(head.configuration.digest);
    const withoutRemovals = shards.map((shard) => ({...shard, removals: []}));
    expect(Configuration.load(withoutRemovals).digest).not.toBe(head.configuration.digest);
  });
});

describe('a ticket', () => {
  it('conflicts when one of its objects was removed after its base', () => {
    let head = approveChanges(createInitialHead(monitor.publicKey), [account('a')]);
    const base = head.number;
    head = approveChanges(head, [{...account('a'), state: null}]);
    const ticket = ticketAfter(head, [account('a')], base);
    expect(findConflict(head.configuration, ticket)).toMatch(/changed by ticket 2/);
  });

  it('is refused when its base is older than the oldest removal that is still kept', () => {
    const head = {...createInitialHead(monitor.publicKey), number: removalRetentionTickets + 5};
    expect(findConflict(head.configuration, ticketAfter(head, [account('a')], 1))).toMatch(
      /is based on ticket 1,/,
    );
  });

  it.each([
    ['another number', (d: Decision) => ({...d, number: d.number + 1}), 'wrong_number'],
    ['a changed verdict', (d: Decision) => ({...d, verdict: 'rejected' as const}), 'bad_signature'],
    ['a changed state digest', (d: Decision) => ({...d, stateDigest: 'x'}), 'bad_signature'],
    ['another ticket', (d: Decision) => ({...d, ticketDigest: 'x'}), 'wrong_digest'],
  ])('does not come into force with a decision that has %s', (_, alter, code) => {
    const head = approveChanges(createInitialHead(monitor.publicKey), [account('a')]);
    const ticket = ticketAfter(head, [account('b')]);
    const next = advanceHead(head, {ticket, decision: alter(decide(head, ticket))});
    expect(next._unsafeUnwrapErr().code).toBe(code);
  });

  it('does not come into force with a wrong state digest that the monitor signed', () => {
    const head = approveChanges(createInitialHead(monitor.publicKey), [account('a')]);
    const ticket = ticketAfter(head, [account('b')]);
    const {signature, ...unsigned} = decide(head, ticket);
    expect(signature).not.toBe('');
    const forged = signDecision({...unsigned, stateDigest: 'x'}, monitor.privateKeyPem);
    const next = advanceHead(head, {ticket, decision: forged._unsafeUnwrap()});
    expect(next._unsafeUnwrapErr().code).toBe('wrong_state');
  });
});

describe('rotation of the monitor key', () => {
  it('requires the old key for the decision on the change, and the new key for later decisions', () => {
    const next = generateMonitorKey();
    const change = {kind: 'monitor' as const, name: 'key', state: {publicKey: next.publicKey}};
    const head = createInitialHead(monitor.publicKey);
    const rotation = ticketAfter(head, [change]);
    const signedWithNewKey = advanceHead(head, {
      ticket: rotation,
      decision: decide(head, rotation, 'approved', next),
    });
    expect(signedWithNewKey._unsafeUnwrapErr().code).toBe('bad_signature');
    const rotated = approveChanges(head, [change]);
    const ticket = ticketAfter(rotated, [account('a')]);
    const signedWithOldKey = advanceHead(rotated, {ticket, decision: decide(rotated, ticket)});
    expect(signedWithOldKey._unsafeUnwrapErr().code).toBe('bad_signature');
    expect(approveChanges(rotated, [account('a')], next).number).toBe(2);
  });

  it('refuses an invalid public key', () => {
    const head = createInitialHead(monitor.publicKey);
    const change = {kind: 'monitor' as const, name: 'key', state: {publicKey: 'bm90IGEga2V5'}};
    const ticket = ticketAfter(head, [change]);
    const unsigned = {
      number: 1,
      verdict: 'approved' as const,
      ticketDigest: ticketDigest(ticket),
      stateDigest: head.configuration.digest,
      note: '',
      decidedAtMs: 0,
    };
    const decision = signDecision(unsigned, monitor.privateKeyPem)._unsafeUnwrap();
    expect(advanceHead(head, {ticket, decision})._unsafeUnwrapErr().code).toBe('invalid');
  });
});
