/** Writes approved tickets directly to the record of a key-value stand-in. */
import {
  advanceHead,
  applyTicketChanges,
  digestText,
  createInitialHead,
  type ChainHead,
  type MonitorKeyPair,
  signDecision,
  type Ticket,
  ticketDigest,
  type TicketRecord,
} from '@marigoldfold/state';

type Changes = Ticket['changes'];

/** Number of objects in the written configuration. */
export interface ConfigurationSize {
  readonly endpoints: number;
  readonly accounts: number;
  readonly models: number;
  readonly tiers: number;
}

const ACCOUNTS_PER_TICKET = 24;
const ENDPOINTS_PER_TICKET = 100;
const SLOTS = 4096;
const UNLIMITED = 1_000_000;

/** Bearer key of the account with the given index in the written configuration. */
export function formatAccountKey(index: number): string {
  return `mf.account-${index}.bench`;
}

/** Names of the models of a configuration. */
export function modelNames(count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `model-${index}`);
}

/** Names of the classes of a configuration, one for each tier. */
export function classNames(count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `tier-${index}`);
}

/** Appends tickets, each with a signed approval. */
export class TicketWriter {
  #head: ChainHead;

  constructor(
    private readonly record: TicketRecord,
    private readonly monitor: MonitorKeyPair,
  ) {
    this.#head = createInitialHead(monitor.publicKey);
  }

  /** Number of the newest ticket; 0 before the first. */
  get number(): number {
    return this.#head.number;
  }

  /** Writes a ticket and its approval. */
  async commit(changes: Changes): Promise<void> {
    const head = this.#head;
    const number = head.number + 1;
    const ticket: Ticket = {
      number,
      id: `bench-${number}`,
      previousDigest: head.digest,
      base: head.number,
      author: 'bench',
      reason: 'a ticket of the bench',
      proposedAtMs: Date.now(),
      changes,
    };
    const decision = signDecision(
      {
        number,
        verdict: 'approved',
        ticketDigest: ticketDigest(ticket),
        stateDigest: applyTicketChanges(head, ticket).digest,
        note: '',
        decidedAtMs: Date.now(),
      },
      this.monitor.privateKeyPem,
    )._unsafeUnwrap();
    (await this.record.propose(ticket, () => true))._unsafeUnwrap();
    (await this.record.decide(decision, () => true))._unsafeUnwrap();
    this.#head = advanceHead(head, {ticket, decision})._unsafeUnwrap();
  }

  /** Writes a configuration of the given size, in several tickets. */
  async writeConfiguration({endpoints, accounts, models, tiers}: ConfigurationSize): Promise<void> {
    const modelList = modelNames(models);
    const setName = (index: number) => `engines-${index % models}`;
    await this.commit(
      modelList.map((model, index) => ({
        kind: 'endpointSet',
        name: setName(index),
        state: {type: 'engine', models: [model], slots: SLOTS},
      })),
    );
    const endpointChanges = Array.from({length: endpoints}, (_, index) => ({
      kind: 'endpoint' as const,
      name: `engine-${index}`,
      state: {set: setName(index)},
    }));
    await this.#commitInBatches(endpointChanges, ENDPOINTS_PER_TICKET);
    const endpointSets = modelList.map((_, index) => setName(index));
    await this.commit(
      classNames(tiers).map((name, tier) => ({
        kind: 'class',
        name,
        state: {tier, firstTokenMs: 60_000, endpointSets},
      })),
    );
    const accountChanges = Array.from({length: accounts}, (_, index) =>
      accountChange(index, classNames(tiers)),
    );
    await this.#commitInBatches(accountChanges, ACCOUNTS_PER_TICKET);
  }

  async #commitInBatches(changes: Changes, size: number): Promise<void> {
    for (let start = 0; start < changes.length; start += size) {
      await this.commit(changes.slice(start, start + size));
    }
  }
}

/** A change that sets the complete state of an account. */
export function accountChange(index: number, classes: readonly string[]): Changes[number] {
  return {
    kind: 'account',
    name: `account-${index}`,
    state: {
      keyDigests: [digestText(formatAccountKey(index))],
      classes,
      defaultClass: classes[0],
      requestsPerSecond: UNLIMITED,
      burst: UNLIMITED,
      concurrency: UNLIMITED,
    },
  };
}
