/** Measures the cost of a ticket and of a snapshot for one process, by size of the configuration. */
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
  measureTicketBytes,
} from '@marigoldfold/state';

/** Measurements of one configuration size. */
export interface ConfigurationFigures {
  readonly accounts: number;
  /** Processor time in microseconds to verify and apply one ticket. */
  readonly stepUs: number;
  /** Processor time in milliseconds to verify and load a snapshot. */
  readonly snapshotMs: number;
  /** Size of a snapshot as JSON. */
  readonly snapshotBytes: number;
  /** Size of the largest ticket that changes one account. */
  readonly ticketBytes: number;
}

const ACCOUNTS_PER_TICKET = 30;
const MEASURED_TICKETS = 200;
const US_PER_MS = 1000;
const monitorKeyPair = generateMonitorKey();

/** Builds a configuration of `accounts` accounts, then measures further tickets and a snapshot on it. */
export function measureConfiguration(accounts: number): ConfigurationFigures {
  const feed = new ConfigurationFeed({
    monitorKey: monitorKeyPair.publicKey,
    clock: systemClock,
    logger: silentLogger,
  });
  for (let first = 0; first < accounts; first += ACCOUNTS_PER_TICKET) {
    const count = Math.min(ACCOUNTS_PER_TICKET, accounts - first);
    const changes = Array.from({length: count}, (_, index) =>
      createAccountChange(first + index, 1),
    );
    feed.accept(createDecidedTicket(feed.head, changes))._unsafeUnwrap();
  }
  const measuredTickets = prepareTickets(feed.head);
  const ticketsStartedUs = cpuUs();
  for (const decided of measuredTickets) feed.accept(decided)._unsafeUnwrap();
  const stepUs = (cpuUs() - ticketsStartedUs) / measuredTickets.length;

  const {configuration} = feed.head;
  const shards = Array.from({length: shardCount}, (_, index) => configuration.shard(index));
  const proof = feed.provenHead()?.proof;
  if (proof === undefined)
    throw new Error('the configuration feed has no proof of approval for its newest head');
  const snapshotBytes = JSON.stringify({proof, shards}).length;
  const snapshotStartedUs = cpuUs();
  verifySnapshot({proof, shards}, monitorKeyPair.publicKey)._unsafeUnwrap();
  const snapshotMs = (cpuUs() - snapshotStartedUs) / US_PER_MS;
  const ticketSizes = measuredTickets.map(({ticket}) => measureTicketBytes(ticket));
  return {accounts, stepUs, snapshotMs, snapshotBytes, ticketBytes: Math.max(...ticketSizes)};
}

function prepareTickets(from: ChainHead): readonly DecidedTicket[] {
  const tickets: DecidedTicket[] = [];
  let head = from;
  while (tickets.length < MEASURED_TICKETS) {
    const decided = createDecidedTicket(head, [createAccountChange(tickets.length, 2)]);
    head = advanceHead(head, decided)._unsafeUnwrap();
    tickets.push(decided);
  }
  return tickets;
}

function createDecidedTicket(head: ChainHead, changes: readonly Change[]): DecidedTicket {
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
  const options = {privateKeyPem: monitorKeyPair.privateKeyPem, decidedAtMs: 0};
  return {ticket, decision: decideTicket(head, ticket, 'approved', options)._unsafeUnwrap()};
}

function createAccountChange(index: number, requestsPerSecond: number): Change {
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
