/** The record of tickets and decisions in the key-value service. */
import {err, ok, type Result} from 'neverthrow';
import {digestValue} from './digest.js';
import type {KeyValue, KeyValueEntry, StoreError} from './keyValue.js';
import {
  type DecidedTicket,
  type Decision,
  decisionSchema,
  type Ticket,
  ticketSchema,
} from './ticket.js';

const TICKET_PREFIX = 'tickets/';
const DECISION_PREFIX = 'decisions/';
const NUMBER_DIGITS = 10;

/** Prefix of all decisions, for watches. */
export const decisionPrefix = DECISION_PREFIX;

/** Why a record operation failed. */
export interface RecordError {
  readonly code: 'store' | 'number_taken' | 'already_decided' | 'corrupt';
  readonly message: string;
  /** Whether the write may have taken effect all the same. */
  readonly mayHaveTakenEffect: boolean;
}

/** Tickets and decisions above a number, in order, and the revision at which they were read. */
export interface RecordPage {
  readonly tickets: readonly Ticket[];
  readonly decisions: readonly Decision[];
  readonly revision: number;
}

/** Reads and writes the record. */
export interface TicketRecord {
  /** Creates a ticket under its number; a repeated submission of the same id succeeds. */
  propose(ticket: Ticket): Promise<Result<void, RecordError>>;
  /** Creates the decision on a ticket. */
  decide(decision: Decision): Promise<Result<void, RecordError>>;
  /** Tickets and decisions with numbers above `after`. */
  read(after: number): Promise<Result<RecordPage, RecordError>>;
  /** Waits for a decision after a revision; resolves as well when the time is over. */
  waitForDecision(
    afterRevision: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<void, RecordError>>;
}

/** Opens the record in a key-value service. */
export function openRecord(store: KeyValue): TicketRecord {
  return {
    propose: (ticket) => createOnce(store, ticketKey(ticket.number), ticket, 'number_taken'),
    decide: (decision) =>
      createOnce(store, decisionKey(decision.number), decision, 'already_decided'),
    read: (after) => read(store, after),
    async waitForDecision(afterRevision, timeoutMs, signal) {
      const options = {afterRevision, timeoutMs, ...(signal === undefined ? {} : {signal})};
      const answer = await store.watch(DECISION_PREFIX, options);
      return answer.map(() => undefined).mapErr(fromStore);
    },
  };
}

/** Pairs tickets with their decisions, up to the first undecided one. */
export function decidedTickets(page: RecordPage): readonly DecidedTicket[] {
  const decisions = new Map(page.decisions.map((decision) => [decision.number, decision]));
  const pairs: DecidedTicket[] = [];
  for (const ticket of page.tickets) {
    const decision = decisions.get(ticket.number);
    if (decision === undefined) break;
    pairs.push({ticket, decision});
  }
  return pairs;
}

function ticketKey(number: number): string {
  return TICKET_PREFIX + padded(number);
}

function decisionKey(number: number): string {
  return DECISION_PREFIX + padded(number);
}

function padded(number: number): string {
  return String(number).padStart(NUMBER_DIGITS, '0');
}

async function createOnce(
  store: KeyValue,
  key: string,
  value: Ticket | Decision,
  takenCode: 'number_taken' | 'already_decided',
): Promise<Result<void, RecordError>> {
  const answer = await store.write(key, JSON.stringify(value), {ifRevision: 0});
  if (answer.isOk()) {
    if (answer.value.kind === 'written') return ok(undefined);
    return judgeExisting(answer.value.current, value, takenCode);
  }
  if (!answer.error.mayHaveTakenEffect) return err(fromStore(answer.error));
  // The answer was lost: what stands under the key tells whether the write took effect.
  const existing = await store.get(key);
  if (existing.isErr()) return err(fromStore(answer.error));
  if (existing.value === undefined) return err(fromStore(answer.error));
  return judgeExisting(existing.value, value, takenCode);
}

function judgeExisting(
  existing: KeyValueEntry | undefined,
  value: Ticket | Decision,
  code: 'number_taken' | 'already_decided',
): Result<void, RecordError> {
  if (existing !== undefined) {
    const found = JSON.parse(existing.value) as {readonly author?: string; readonly id?: string};
    if (digestValue(found) === digestValue(value)) return ok(undefined);
    const by = found.author === undefined ? '' : ` by ${found.author}`;
    const message = `number ${value.number} was taken${by} (${found.id ?? 'another decision'})`;
    return err({code, message, mayHaveTakenEffect: false});
  }
  const message = `number ${value.number} was taken`;
  return err({code, message, mayHaveTakenEffect: false});
}

async function read(store: KeyValue, after: number): Promise<Result<RecordPage, RecordError>> {
  // Decisions first: a ticket always exists before its decision, so no decision lacks its ticket.
  const decisions = await store.list(DECISION_PREFIX, {from: decisionKey(after + 1)});
  if (decisions.isErr()) return err(fromStore(decisions.error));
  const tickets = await store.list(TICKET_PREFIX, {from: ticketKey(after + 1)});
  if (tickets.isErr()) return err(fromStore(tickets.error));
  const page: {tickets: Ticket[]; decisions: Decision[]} = {tickets: [], decisions: []};
  for (const entry of tickets.value.entries) {
    const checked = ticketSchema.safeParse(parseEntry(entry));
    if (!checked.success) return err(corrupt(entry));
    page.tickets.push(checked.data);
  }
  for (const entry of decisions.value.entries) {
    const checked = decisionSchema.safeParse(parseEntry(entry));
    if (!checked.success) return err(corrupt(entry));
    page.decisions.push(checked.data);
  }
  return ok({...page, revision: decisions.value.revision});
}

function parseEntry(entry: KeyValueEntry): unknown {
  try {
    return JSON.parse(entry.value) as unknown;
  } catch {
    return undefined;
  }
}

function corrupt(entry: KeyValueEntry): RecordError {
  const message = `the record under ${entry.key} cannot be read`;
  return {code: 'corrupt', message, mayHaveTakenEffect: false};
}

function fromStore(error: StoreError): RecordError {
  const {message, mayHaveTakenEffect} = error;
  return {code: 'store', message, mayHaveTakenEffect};
}
