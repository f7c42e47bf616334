import {VirtualClock} from '@marigoldfold/runtime';
import {SwitchableKeyValue, MemoryKeyValue, type StoreFault} from '@marigoldfold/standin';
import {
  advanceHead,
  decideTicket,
  type Decision,
  decisionKey,
  type Draft,
  generateMonitorKey,
  createInitialHead,
  type ChainHead,
  openRecord,
  replayRecord,
  type Ticket,
  ticketKey,
} from '@marigoldfold/state';
import {describe, expect, it} from 'vitest';
import {createTicketManager} from '../ticketManager.js';

const monitor = generateMonitorKey();
const LATE_MS = 5000;

function createSharedStore() {
  const clock = new VirtualClock();
  const memory = new MemoryKeyValue(clock);
  return {clock, memory, record: openRecord(memory)};
}

type SharedStore = ReturnType<typeof createSharedStore>;

/** Creates an entry with a separate connection to the shared store; `catchUp` applies the decided tickets. */
function createEntry({clock, memory}: SharedStore) {
  const faults = new SwitchableKeyValue(memory, clock);
  const record = openRecord(faults);
  let head: ChainHead = createInitialHead(monitor.publicKey);
  const ticketManager = createTicketManager({record, head: () => head, clock});
  return {
    faults,
    ticketManager,
    head: () => head,
    async catchUp() {
      const page = (await record.read(head.number))._unsafeUnwrap();
      head = replayRecord(head, page).head;
    },
  };
}

const setsDraft: Draft = {
  reason: 'sets',
  changes: [
    {kind: 'endpointSet', name: 'engines', state: {type: 'engine', models: ['m'], slots: 10}},
    {kind: 'endpoint', name: 'engine-1', state: {set: 'engines'}},
  ],
};
const classDraft: Draft = {
  reason: 'classes',
  changes: [
    {kind: 'class', name: 'urgent', state: {tier: 0, endpointSets: ['engines']}},
    {
      kind: 'class',
      name: 'bulk',
      state: {tier: 6, guaranteedShare: 0.2, endpointSets: ['engines']},
    },
  ],
};

function accountDraft(name: string, concurrency = 4, base?: number): Draft {
  const state = {
    keyDigests: ['0'.repeat(64)],
    classes: ['urgent'],
    defaultClass: 'urgent',
    requestsPerSecond: 1,
    burst: 1,
    concurrency,
  };
  const changes: Draft['changes'] = [{kind: 'account', name, state}];
  return {reason: `account ${name}`, changes, ...(base === undefined ? {} : {base})};
}

function sign(head: ChainHead, ticket: Ticket, verdict: Decision['verdict'] = 'approved', at = 0) {
  const {privateKeyPem} = monitor;
  return decideTicket(head, ticket, verdict, {privateKeyPem, decidedAtMs: at})._unsafeUnwrap();
}

type Entry = ReturnType<typeof createEntry>;

async function approve(entry: Entry, id: string, draft: Draft): Promise<Ticket> {
  const ticket = (await entry.ticketManager.propose('ada', {id, draft}))._unsafeUnwrap();
  (await entry.ticketManager.decide(sign(entry.head(), ticket)))._unsafeUnwrap();
  await entry.catchUp();
  return ticket;
}

async function createReadyEntry(sharedStore = createSharedStore()) {
  const entry = createEntry(sharedStore);
  await approve(entry, 'sets', setsDraft);
  await approve(entry, 'classes', classDraft);
  return {sharedStore, entry};
}

describe('two operators', () => {
  it('propose tickets with the same number: one proposal fails and names the author of the other', async () => {
    const {sharedStore, entry} = await createReadyEntry();
    const other = createEntry(sharedStore);
    await other.catchUp();
    const answers = await Promise.all([
      entry.ticketManager.propose('ada', {id: 'one', draft: accountDraft('a')}),
      other.ticketManager.propose('bob', {id: 'two', draft: accountDraft('b')}),
    ]);
    const failures = answers.filter((answer) => answer.isErr());
    expect(failures).toHaveLength(1);
    const winner = answers[0].isOk() ? 'ada' : 'bob';
    expect(failures[0]?._unsafeUnwrapErr()).toMatchObject({
      code: 'number_taken',
      message: expect.stringContaining(`taken by ${winner}`) as string,
      mayHaveTakenEffect: false,
    });
  });

  it('change the same object: the second ticket is refused, naming the number and author of the first', async () => {
    const {sharedStore, entry} = await createReadyEntry();
    const other = createEntry(sharedStore);
    await other.catchUp();
    await entry.ticketManager.propose('ada', {id: 'one', draft: accountDraft('a')});
    const second = await other.ticketManager.propose('bob', {
      id: 'two',
      draft: accountDraft('a', 9),
    });
    expect(second._unsafeUnwrapErr()).toMatchObject({
      code: 'conflict',
      message: 'account a is changed by ticket 3 of ada, which is not decided yet',
    });
  });

  it('change the same object from an old base: the second ticket is refused after the first was approved', async () => {
    const {sharedStore, entry} = await createReadyEntry();
    const other = createEntry(sharedStore);
    await other.catchUp();
    await approve(entry, 'one', accountDraft('a'));
    const late = await other.ticketManager.propose('bob', {
      id: 'two',
      draft: accountDraft('a', 9, 2),
    });
    expect(late._unsafeUnwrapErr().message).toMatch(/account a was changed by ticket 3, after/);
  });

  it('may propose consecutive tickets before a decision, and a rejection keeps the numbering', async () => {
    const {entry} = await createReadyEntry();
    const first = (
      await entry.ticketManager.propose('ada', {id: 'one', draft: accountDraft('a')})
    )._unsafeUnwrap();
    const second = (
      await entry.ticketManager.propose('bob', {id: 'two', draft: accountDraft('b')})
    )._unsafeUnwrap();
    expect([first.number, second.number]).toEqual([3, 4]);
    const early = await entry.ticketManager.decide(sign(entry.head(), second));
    expect(early._unsafeUnwrapErr().message).toMatch(/ticket 3 must be decided first/);
    (await entry.ticketManager.decide(sign(entry.head(), first, 'rejected')))._unsafeUnwrap();
    await entry.catchUp();
    (await entry.ticketManager.decide(sign(entry.head(), second)))._unsafeUnwrap();
    await entry.catchUp();
    expect(entry.head().number).toBe(4);
    expect([...entry.head().configuration.all('account').keys()]).toEqual(['b']);
  });
});

describe('a lost store response', () => {
  it.each<[StoreFault, boolean]>([
    ['answer-lost', true],
    ['request-lost', false],
    [{lateByMs: LATE_MS}, false],
  ])('to a proposal (%o) leaves one ticket after a repetition', async (fault, isSettled) => {
    const {sharedStore, entry} = await createReadyEntry();
    entry.faults.failWrites(fault);
    const proposal = {id: 'one', draft: accountDraft('a')};
    const first = await entry.ticketManager.propose('ada', proposal);
    expect(first.isOk()).toBe(isSettled);
    if (first.isErr()) expect(first.error.mayHaveTakenEffect).toBe(true);
    const again = await entry.ticketManager.propose('ada', proposal);
    await sharedStore.clock.advance(LATE_MS);
    const third = await entry.ticketManager.propose('ada', proposal);
    expect([again._unsafeUnwrap().number, third._unsafeUnwrap().number]).toEqual([3, 3]);
    expect((await sharedStore.record.read(2))._unsafeUnwrap().tickets).toHaveLength(1);
  });

  it('to a proposal that takes effect after the read-back and before the repetition', async () => {
    const {sharedStore, entry} = await createReadyEntry();
    entry.faults.failWrites({lateByMs: LATE_MS});
    const proposal = {id: 'one', draft: accountDraft('a')};
    expect((await entry.ticketManager.propose('ada', proposal)).isErr()).toBe(true);
    await sharedStore.clock.advance(LATE_MS);
    expect((await entry.ticketManager.propose('ada', proposal))._unsafeUnwrap().number).toBe(3);
    expect((await sharedStore.record.read(2))._unsafeUnwrap().tickets).toHaveLength(1);
  });

  it('to a proposal is harmless after the ticket is approved: any entry recognizes the repeated proposal', async () => {
    const {sharedStore, entry} = await createReadyEntry();
    await approve(entry, 'one', accountDraft('a'));
    const other = createEntry(sharedStore);
    const again = await other.ticketManager.propose('ada', {id: 'one', draft: accountDraft('a')});
    expect(again._unsafeUnwrap().number).toBe(3);
    const reused = await other.ticketManager.propose('ada', {id: 'one', draft: accountDraft('z')});
    expect(reused._unsafeUnwrapErr().message).toMatch(/id one was used for ticket 3/);
  });

  it.each<StoreFault>(['answer-lost', 'request-lost', {lateByMs: LATE_MS}])(
    'to a decision (%o) leaves one decision after a repetition',
    async (fault) => {
      const {sharedStore, entry} = await createReadyEntry();
      const proposal = {id: 'one', draft: accountDraft('a')};
      const ticket = (await entry.ticketManager.propose('ada', proposal))._unsafeUnwrap();
      entry.faults.failWrites(fault);
      const first = await entry.ticketManager.decide(sign(entry.head(), ticket, 'approved', 1));
      if (first.isErr()) expect(first.error.mayHaveTakenEffect).toBe(true);
      (await entry.ticketManager.decide(sign(entry.head(), ticket, 'approved', 2)))._unsafeUnwrap();
      await sharedStore.clock.advance(LATE_MS);
      await entry.catchUp();
      (await entry.ticketManager.decide(sign(entry.head(), ticket, 'approved', 3)))._unsafeUnwrap();
      const {decisions} = (await sharedStore.record.read(2))._unsafeUnwrap();
      expect(decisions.map(({verdict}) => verdict)).toEqual(['approved']);
    },
  );

  it('to an approval that takes effect after a rejection was written changes nothing', async () => {
    const {sharedStore, entry} = await createReadyEntry();
    const proposal = {id: 'one', draft: accountDraft('a')};
    const ticket = (await entry.ticketManager.propose('ada', proposal))._unsafeUnwrap();
    entry.faults.failWrites({lateByMs: LATE_MS});
    const head = entry.head();
    expect((await entry.ticketManager.decide(sign(head, ticket))).isErr()).toBe(true);
    (await entry.ticketManager.decide(sign(head, ticket, 'rejected')))._unsafeUnwrap();
    await sharedStore.clock.advance(LATE_MS);
    const approved = await entry.ticketManager.decide(sign(head, ticket));
    expect(approved._unsafeUnwrapErr()).toMatchObject({
      code: 'already_decided',
      mayHaveTakenEffect: false,
    });
    await entry.catchUp();
    expect(entry.head().configuration.get('account', 'a')).toBeUndefined();
  });
});

describe('a decision that is not valid', () => {
  it.each([
    ['a bad signature', (d: Decision) => ({...d, note: 'altered'}), /not the monitor's/],
    [
      'the digest of another ticket',
      (d: Decision) => ({...d, ticketDigest: 'x'}),
      /another ticket/,
    ],
    ['another state digest', (d: Decision) => ({...d, stateDigest: 'x'}), /not the monitor's/],
  ])('with %s is refused and not written', async (_, alter, message) => {
    const {sharedStore, entry} = await createReadyEntry();
    const proposal = {id: 'one', draft: accountDraft('a')};
    const ticket = (await entry.ticketManager.propose('ada', proposal))._unsafeUnwrap();
    const answer = await entry.ticketManager.decide(alter(sign(entry.head(), ticket)));
    expect(answer._unsafeUnwrapErr().code).toBe('invalid_decision');
    expect(answer._unsafeUnwrapErr().message).toMatch(message);
    expect((await sharedStore.record.read(2))._unsafeUnwrap().decisions).toEqual([]);
  });

  it.each([
    ['is not JSON', () => 'garbage'],
    ['was altered', (d: Decision) => JSON.stringify({...d, note: 'altered'})],
    ['has another number', (d: Decision) => JSON.stringify({...d, number: 9})],
  ])('in the record that %s does not block its number', async (_, write) => {
    const {sharedStore, entry} = await createReadyEntry();
    const proposal = {id: 'one', draft: accountDraft('a')};
    const ticket = (await entry.ticketManager.propose('ada', proposal))._unsafeUnwrap();
    const decision = sign(entry.head(), ticket);
    await sharedStore.memory.write(decisionKey(3), write(decision), {ifRevision: 0});
    await entry.catchUp();
    expect(entry.head().number).toBe(2);
    (await entry.ticketManager.decide(decision))._unsafeUnwrap();
    await entry.catchUp();
    expect(entry.head().number).toBe(3);
  });

  it('never replaces a valid one', async () => {
    const {entry} = await createReadyEntry();
    const proposal = {id: 'one', draft: accountDraft('a')};
    const ticket = (await entry.ticketManager.propose('ada', proposal))._unsafeUnwrap();
    (await entry.ticketManager.decide(sign(entry.head(), ticket)))._unsafeUnwrap();
    const rejection = await entry.ticketManager.decide(sign(entry.head(), ticket, 'rejected'));
    expect(rejection._unsafeUnwrapErr().code).toBe('already_decided');
  });

  it('that two entries replace at the same time ends as one of their two verdicts', async () => {
    const {sharedStore, entry} = await createReadyEntry();
    const other = createEntry(sharedStore);
    await other.catchUp();
    const proposal = {id: 'one', draft: accountDraft('a')};
    const ticket = (await entry.ticketManager.propose('ada', proposal))._unsafeUnwrap();
    await sharedStore.memory.write(decisionKey(3), 'garbage', {ifRevision: 0});
    const answers = await Promise.all([
      entry.ticketManager.decide(sign(entry.head(), ticket)),
      other.ticketManager.decide(sign(other.head(), ticket, 'rejected')),
    ]);
    expect(answers.filter((answer) => answer.isOk())).toHaveLength(1);
    await Promise.all([entry.catchUp(), other.catchUp()]);
    expect(entry.head().digest).toBe(other.head().digest);
    expect(entry.head().configuration.digest).toBe(other.head().configuration.digest);
  });
});

describe('a ticket in the record that does not continue the chain', () => {
  it.each([
    ['is not JSON', () => 'garbage'],
    ['follows another ticket', (t: Ticket) => JSON.stringify({...t, previousDigest: 'x'})],
  ])('because it %s does not block its number', async (_, write) => {
    const {sharedStore, entry} = await createReadyEntry();
    const proposal = {id: 'one', draft: accountDraft('a')};
    const preview = createEntry(createSharedStore());
    await approve(preview, 'sets', setsDraft);
    await approve(preview, 'classes', classDraft);
    const model = (await preview.ticketManager.propose('eve', proposal))._unsafeUnwrap();
    await sharedStore.memory.write(ticketKey(3), write(model), {ifRevision: 0});
    const ticket = await approve(entry, 'two', accountDraft('b'));
    expect(ticket.number).toBe(3);
    expect(entry.head().number).toBe(3);
  });
});

describe('an outage of the key-value service', () => {
  it('makes ticket commands fail immediately with an error that says that nothing was written', async () => {
    const {entry} = await createReadyEntry();
    const proposal = {id: 'one', draft: accountDraft('a')};
    const ticket = (await entry.ticketManager.propose('ada', proposal))._unsafeUnwrap();
    entry.faults.isDown = true;
    const failed = await Promise.all([
      entry.ticketManager.propose('ada', {id: 'two', draft: accountDraft('b')}),
      entry.ticketManager.decide(sign(entry.head(), ticket)),
      entry.ticketManager.read(0),
      entry.ticketManager.preview('ada', proposal),
    ]);
    for (const answer of failed) {
      const error = answer._unsafeUnwrapErr();
      expect(error).toMatchObject({code: 'store', mayHaveTakenEffect: false});
    }
    entry.faults.isDown = false;
    (await entry.ticketManager.decide(sign(entry.head(), ticket)))._unsafeUnwrap();
  });
});

describe('a preview', () => {
  it('lists each field that changes and writes nothing', async () => {
    const {sharedStore, entry} = await createReadyEntry();
    await approve(entry, 'one', accountDraft('a', 4));
    const preview = await entry.ticketManager.preview('ada', {
      id: 'p',
      draft: accountDraft('a', 5),
    });
    expect(preview._unsafeUnwrap()).toMatchObject({
      number: 4,
      differences: [{object: 'account/a', field: 'concurrency', before: '4', after: '5'}],
      failures: [],
    });
    expect((await sharedStore.record.read(3))._unsafeUnwrap().tickets).toEqual([]);
  });

  it('lists every check that fails', async () => {
    const {entry} = await createReadyEntry();
    const draft: Draft = {
      reason: 'all wrong',
      changes: [
        ...accountDraft('a', 40).changes,
        {kind: 'class', name: 'empty', state: {tier: 3, endpointSets: ['none']}},
        {kind: 'endpointSet', name: 'spare', state: {type: 'engine', slots: 1}},
        {kind: 'class', name: 'idle', state: {tier: 3, endpointSets: ['spare']}},
      ],
    };
    const preview = await entry.ticketManager.preview('ada', {id: 'p', draft});
    expect(preview._unsafeUnwrap().failures).toEqual([
      {
        severity: 'error',
        message: 'class/empty refers to endpointSet/none, which does not exist',
      },
      {severity: 'warning', message: 'no endpoint can serve class/empty'},
      {severity: 'warning', message: 'no endpoint can serve class/idle'},
      {
        severity: 'warning',
        message:
          'accounts may have 40 urgent requests in flight, but endpoints serve 8.0 of them beside the guaranteed shares of lower tiers',
      },
    ]);
    const refusal = (await entry.ticketManager.propose('ada', {id: 'p', draft}))._unsafeUnwrapErr();
    expect(refusal).toMatchObject({code: 'invalid_configuration', mayHaveTakenEffect: false});
    expect(refusal.problems).toHaveLength(1);
  });

  it('refuses the removal of an object that is still referenced', async () => {
    const {entry} = await createReadyEntry();
    const draft: Draft = {
      reason: 'remove',
      changes: [{kind: 'endpointSet', name: 'engines', state: null}],
    };
    const {failures} = (await entry.ticketManager.preview('ada', {id: 'p', draft}))._unsafeUnwrap();
    const errors = failures.filter(({severity}) => severity === 'error');
    expect(errors.map(({message}) => message)).toEqual([
      'class/bulk refers to endpointSet/engines, which does not exist',
      'class/urgent refers to endpointSet/engines, which does not exist',
      'endpoint/engine-1 refers to endpointSet/engines, which does not exist',
    ]);
  });

  it('lists a conflict and a base that does not exist yet', async () => {
    const {entry} = await createReadyEntry();
    await approve(entry, 'one', accountDraft('a'));
    const stale = await entry.ticketManager.preview('ada', {
      id: 'p',
      draft: accountDraft('a', 5, 1),
    });
    expect(stale._unsafeUnwrap().failures[0]?.message).toMatch(/changed by ticket 3/);
    const early = await entry.ticketManager.preview('ada', {
      id: 'p',
      draft: accountDraft('a', 5, 8),
    });
    expect(early._unsafeUnwrap().failures[0]?.message).toMatch(/base 8 is above/);
  });
});

it('a second replay of the ticket record results in the same configuration digest', async () => {
  const {sharedStore, entry} = await createReadyEntry();
  const page = (await sharedStore.record.read(0))._unsafeUnwrap();
  let head = createInitialHead(monitor.publicKey);
  for (const [index, ticket] of page.tickets.entries()) {
    const decision = page.decisions[index]!;
    head = advanceHead(head, {ticket, decision})._unsafeUnwrap();
  }
  expect(head.configuration.digest).toBe(entry.head().configuration.digest);
});
