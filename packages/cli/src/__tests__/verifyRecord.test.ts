import {
  generateMonitorKey,
  createInitialHead,
  replayRecord,
  type Ticket,
  ticketDigest,
  zeroDigest,
} from '@marigoldfold/state';
import {describe, expect, it} from 'vitest';
import {signNextDecision} from '../monitorDecision.js';
import type {RecordAnswer} from '../operatorClient.js';
import {verifyRecord} from '../verifyRecord.js';

const monitor = generateMonitorKey();

function ticketAfter(previous: Ticket | undefined): Ticket {
  const number = (previous?.number ?? 0) + 1;
  return {
    number,
    id: `id-${number}`,
    previousDigest: previous === undefined ? zeroDigest : ticketDigest(previous),
    base: number - 1,
    author: 'ada',
    reason: 'set',
    proposedAtMs: number,
    changes: [{kind: 'endpointSet', name: `set-${number}`, state: {type: 'engine', slots: number}}],
  };
}

function sign(record: RecordAnswer, number: number) {
  return signNextDecision(record, {
    number,
    verdict: number === 2 ? 'rejected' : 'approved',
    note: '',
    privateKeyPem: monitor.privateKeyPem,
    firstPublicKey: monitor.publicKey,
    nowMs: number,
  });
}

function createRecord(decided: number, proposed: number): RecordAnswer {
  let record: RecordAnswer = {tickets: [], decisions: []};
  while (record.tickets.length < proposed) {
    record = {...record, tickets: [...record.tickets, ticketAfter(record.tickets.at(-1))]};
  }
  while (record.decisions.length < decided) {
    const decision = sign(record, record.decisions.length + 1)._unsafeUnwrap();
    record = {...record, decisions: [...record.decisions, decision]};
  }
  return record;
}

describe('verifyRecord', () => {
  it('accepts a valid record and lists its undecided tickets', () => {
    const record = createRecord(3, 5);
    const {head} = replayRecord(createInitialHead(monitor.publicKey), record);
    expect(verifyRecord(record, monitor.publicKey)).toEqual({
      isWhole: true,
      number: 3,
      stateDigest: head.configuration.digest,
      undecided: [4, 5],
      problems: [],
    });
  });

  it('reports the first violation after a ticket or decision was changed or a ticket is missing', () => {
    const whole = createRecord(4, 4);
    for (const index of whole.tickets.keys()) {
      const tickets = whole.tickets.map((ticket, at) =>
        at === index ? {...ticket, author: 'eve'} : ticket,
      );
      const {isWhole, problems} = verifyRecord({...whole, tickets}, monitor.publicKey);
      expect(isWhole).toBe(false);
      expect(problems[0]).toMatch(new RegExp(`^ticket ${index + 1}: decision ${index + 1} is on`));
      const decisions = whole.decisions.map((decision, at) =>
        at === index ? {...decision, note: 'x'} : decision,
      );
      const forged = verifyRecord({...whole, decisions}, monitor.publicKey);
      expect(forged.problems[0]).toMatch(new RegExp(`^ticket ${index + 1}: .*not the monitor's`));
      const withoutOne = whole.tickets.filter((_, at) => at !== index);
      expect(verifyRecord({...whole, tickets: withoutOne}, monitor.publicKey).isWhole).toBe(false);
    }
  });

  it('rejects a record that another key has signed', () => {
    const other = generateMonitorKey();
    expect(verifyRecord(createRecord(2, 2), other.publicKey).problems[0]).toMatch(/^ticket 1/);
  });
});

describe('signNextDecision', () => {
  it('refuses decisions out of order and on tickets that do not exist', () => {
    const record = createRecord(1, 3);
    expect(sign(record, 3)._unsafeUnwrapErr()).toBe('ticket 2 must be decided first');
    expect(sign(record, 1)._unsafeUnwrapErr()).toBe('ticket 1 has already been decided');
    expect(sign(record, 9)._unsafeUnwrapErr()).toBe('there is no ticket 9');
  });

  it('replaces an invalid decision', () => {
    const record = createRecord(2, 3);
    const decisions = record.decisions.map((decision) =>
      decision.number === 2 ? {...decision, note: 'x'} : decision,
    );
    expect(sign({...record, decisions}, 2).isOk()).toBe(true);
  });
});
