/** Measures what a ticket and a snapshot cost one process, against the size of the configuration. */
import {ConfigurationFeed} from '@marigoldfold/coordination';
import {silentLogger, systemClock} from '@marigoldfold/runtime';
import {
  advanceHead,
  type Change,
  type DecidedTicket,
  decideTicket,
  digestText,
  generateMonitorKey,
  type ChainHead,
  verifySnapshot,
  shardCount,
  ticketBytes,
} from '@marigoldfold/state';

/** The figures of one configuration size. */
export interface ConfigurationFigures {
  readonly accounts: number;
  /** Processor time in microseconds for taking one ticket. */
  readonly stepUs: number;
  /** Processor time in milliseconds for checking and loading a snapshot. */
  readonly snapshotMs: number;
  /** Serialized bytes of a snapshot. */
  readonly snapshotBytes: number;
  /** Bytes of a ticket that changes one account. */
  readonly ticketBytes: number;
}

const ACCOUNTS_PER_TICKET = 30;
const MEASURED_TICKETS = 200;
const US_PER_MS = 1000;
const monitor = generateMonitorKey();

/** Builds a configuration by tickets, and measures further ones. */
export function measureConfiguration(accounts: number): ConfigurationFigures {
  const feed = new ConfigurationFeed({
    monitorKey: monitor.publicKey,
    clock: systemClock,
    logger: silentLogger,
  });
  for (let first = 0; first < accounts; first += ACCOUNTS_PER_TICKET) {
    const count = Math.min(ACCOUNTS_PER_TICKET, accounts - first);
    const changes = Array.from({length: count}, (_, index) => account(first + index, 1));
    feed.accept(decide(feed.head, changes))._unsafeUnwrap();
  }
  const measured = prepareTickets(feed.head);
  const startedUs = cpuUs();
  for (const decided of measured) feed.accept(decided)._unsafeUnwrap();
  const stepUs = (cpuUs() - startedUs) / measured.length;

  const {configuration} = feed.head;
  const shards = Array.from({length: shardCount}, (_, index) => configuration.shard(index));
  const proof = feed.provenHead()?.proof;
  if (proof === undefined) throw new Error('the feed keeps its newest head');
  const snapshotBytes = JSON.stringify({proof, shards}).length;
  const loadingUs = cpuUs();
  verifySnapshot({proof, shards}, monitor.publicKey)._unsafeUnwrap();
  const snapshotMs = (cpuUs() - loadingUs) / US_PER_MS;
  const bytes = measured.map(({ticket}) => ticketBytes(ticket));
  return {accounts, stepUs, snapshotMs, snapshotBytes, ticketBytes: Math.max(...bytes)};
}

function prepareTickets(from: ChainHead): readonly DecidedTicket[] {
  const tickets: DecidedTicket[] = [];
  let head = from;
  while (tickets.length < MEASURED_TICKETS) {
    const decided = decide(head, [account(tickets.length, 2)]);
    head = advanceHead(head, decided)._unsafeUnwrap();
    tickets.push(decided);
  }
  return tickets;
}

function decide(head: ChainHead, changes: readonly Change[]): DecidedTicket {
  const ticket = {
    number: head.number + 1,
    id: `id-${head.number + 1}`,
    previousDigest: head.digest,
    base: head.number,
    author: 'ada',
    reason: 'measure the cost of a ticket',
    proposedAtMs: 0,
    changes: [...changes],
  };
  const options = {privateKeyPem: monitor.privateKeyPem, decidedAtMs: 0};
  return {ticket, decision: decideTicket(head, ticket, 'approved', options)._unsafeUnwrap()};
}

function account(index: number, requestsPerSecond: number): Change {
  const name = `account-${index}`;
  const state = {
    keyDigests: [digestText(name)],
    classes: ['urgent', 'standard', 'bulk'],
    defaultClass: 'standard',
    requestsPerSecond,
    burst: 10,
    concurrency: 4,
  };
  return {kind: 'account', name, state};
}

function cpuUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}
