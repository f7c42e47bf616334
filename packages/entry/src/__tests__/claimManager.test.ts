import {VirtualClock} from '@marigoldfold/runtime';
import {MemoryKeyValue} from '@marigoldfold/standin';
import {claimCall, digestText, recordOutcome} from '@marigoldfold/state';
import {describe, expect, it} from 'vitest';
import {createClaimManager} from '../claimManager.js';

const key = {account: 'parish-choir', idempotencyKey: 'order-17'};
const keyDigest = digestText('order-17');
const settlement = {account: 'parish-choir', keyDigest, reason: 'checked the ledger'};

async function pendingClaim() {
  const clock = new VirtualClock(1000);
  const store = new MemoryKeyValue(clock);
  const claim = {attempt: 'one', requestDigest: 'd', claimedAtMs: clock.now()};
  const held = (await claimCall(store, key, claim))._unsafeUnwrap();
  if (held.kind !== 'held') throw new Error('the claim is not held');
  return {clock, store, claim, held, claimManager: createClaimManager({store, clock})};
}

const secondClaim = {attempt: 'two', requestDigest: 'd', claimedAtMs: 0};

describe('an operator', () => {
  it('lists claims without an outcome in pages', async () => {
    const {claimManager, store, held} = await pendingClaim();
    const page = (await claimManager.list({onlyPending: true}))._unsafeUnwrap();
    expect(page.claims).toMatchObject([{account: 'parish-choir', keyDigest, state: 'unknown'}]);
    expect(page.next).toBeUndefined();
    await recordOutcome(store, key, held, {status: 201, headers: {}, body: ''});
    expect((await claimManager.list({onlyPending: true}))._unsafeUnwrap().claims).toEqual([]);
    const all = (
      await claimManager.list({onlyPending: false, account: 'parish-choir'})
    )._unsafeUnwrap();
    expect(all.claims).toMatchObject([{state: 'recorded', status: 201}]);
  });

  it('gets each claim once across many pages', async () => {
    const {claimManager, store} = await pendingClaim();
    for (let index = 0; index < 1100; index += 1) {
      const many = {account: 'band', idempotencyKey: String(index)};
      await claimCall(store, many, {attempt: `a${index}`, requestDigest: 'd', claimedAtMs: 0});
    }
    const paths: string[] = [];
    let after: string | undefined;
    do {
      const query = {onlyPending: true, ...(after === undefined ? {} : {after})};
      const page = (await claimManager.list(query))._unsafeUnwrap();
      paths.push(...page.claims.map(({path}) => path));
      after = page.next;
    } while (after !== undefined);
    expect(new Set(paths).size).toBe(1101);
    expect(paths).toHaveLength(1101);
  });

  it('settles a call as not run, which may then run, and the settlement stays stored', async () => {
    const {claimManager, clock, store} = await pendingClaim();
    await clock.advance(700_000);
    const settled = await claimManager.settle('ines', {...settlement, ran: 'no'});
    expect(settled._unsafeUnwrap()).toMatchObject({
      state: 'settled-not-run',
      settlements: [{operator: 'ines', reason: 'checked the ledger', settledAtMs: 701_000}],
    });
    expect((await claimCall(store, key, secondClaim))._unsafeUnwrap().kind).toBe('held');
    const shown = (await claimManager.show('parish-choir', keyDigest))._unsafeUnwrap();
    expect(shown.settlements).toHaveLength(1);
  });

  it('settles a call as run, which never runs again', async () => {
    const {claimManager, clock, store} = await pendingClaim();
    await clock.advance(700_000);
    await claimManager.settle('ines', {...settlement, ran: 'yes'});
    expect((await claimCall(store, key, secondClaim))._unsafeUnwrap()).toMatchObject({
      kind: 'settled',
      settlement: {operator: 'ines'},
    });
  });

  it('cannot settle a call that may still be in flight, nor one with a recorded outcome', async () => {
    const {claimManager, clock, store, held} = await pendingClaim();
    const early = await claimManager.settle('ines', {...settlement, ran: 'no'});
    expect(early._unsafeUnwrapErr().message).toContain('settle it in 600 s');
    await recordOutcome(store, key, held, {status: 201, headers: {}, body: ''});
    await clock.advance(700_000);
    const late = await claimManager.settle('ines', {...settlement, ran: 'no'});
    expect(late._unsafeUnwrapErr().code).toBe('conflict');
  });

  it('gets not_found for a claim that does not exist', async () => {
    const {claimManager} = await pendingClaim();
    expect((await claimManager.show('band', keyDigest))._unsafeUnwrapErr().code).toBe('not_found');
  });
});
