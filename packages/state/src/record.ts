/** Stores tickets and decisions in the key-value service. */
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {
  createOnce,
  parseEntry,
  type RecordError,
  toRecordError,
  type ExistingEntryClass,
} from './createOnce.js';
import {canonicalJson} from './digest.js';
import type {KeyValue, KeyValueEntry} from './keyValue.js';
import {readSegments} from './recordArchive.js';
import {
  type DecidedTicket,
  type Decision,
  decisionSchema,
  type Ticket,
  ticketSchema,
} from './ticket.js';
import type {Revision} from './revision.js';

/** Key prefix of all tickets. */
export const ticketPrefix = 'tickets/';
const DECISION_PREFIX = 'decisions/';
const NUMBER_DIGITS = 10;

/** Key prefix of all decisions. */
export const decisionPrefix = DECISION_PREFIX;

/** An invalid value in the record; it is treated as absent. */
export interface UnreadableEntry {
  readonly key: string;
  readonly message: string;
}

/** Tickets and decisions with numbers above a given one, in order, and the store revision at which they were read. */
export interface RecordPage {
  readonly tickets: readonly Ticket[];
  readonly decisions: readonly Decision[];
  readonly unreadable: readonly UnreadableEntry[];
  readonly revision: Revision;
}

/**
 * Whether an existing ticket or decision is valid; an invalid one is replaced by the new one with the same number.
 */
export type ValidityCheck<T> = (found: T) => boolean;

/** Reads and writes tickets and decisions; each has its own key in the key-value service. */
export interface TicketRecord {
  /**
   * Creates a ticket under its number; resubmitting it with the same id succeeds.
   * An existing ticket for which `isValid` is false is replaced, as it could never be decided.
   */
  propose(ticket: Ticket, isValid: ValidityCheck<Ticket>): Promise<Result<void, RecordError>>;
  /**
   * Creates the decision on a ticket; repeating the same verdict succeeds.
   * An existing decision for which `isValid` is false is replaced, so it cannot block the number.
   */
  decide(decision: Decision, isValid: ValidityCheck<Decision>): Promise<Result<void, RecordError>>;
  /** Reads tickets and decisions with numbers above `after`, at most `limit` of each. */
  read(after: number, limit?: number): Promise<Result<RecordPage, RecordError>>;
  /** Reads decided tickets with numbers above `after`; makes a single call when there are none. */
  readDecided(after: number): Promise<Result<RecordPage, RecordError>>;
  /** Waits for a decision after a store revision; also resolves on timeout. */
  waitForDecision(
    afterRevision: Revision,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<void, RecordError>>;
}

/** Returns the record stored in a key-value service; makes no call yet. */
export function openRecord(store: KeyValue): TicketRecord {
  return {
    propose: (ticket, isValid) =>
      createOnce(store, {
        key: ticketKey(ticket.number),
        value: ticket,
        classifyExisting: (entry) => classifyTicketEntry(entry, ticket, isValid),
        conflictError: (entry) => numberTakenError(entry, ticket.number),
      }),
    decide: (decision, isValid) =>
      createOnce(store, {
        key: decisionKey(decision.number),
        value: decision,
        classifyExisting: (entry) => classifyDecisionEntry(entry, decision, isValid),
        conflictError: (entry) => alreadyDecidedError(entry, decision.number),
      }),
    read: (after, limit) => read(store, after, limit),
    readDecided: (after) => readDecided(store, after),
    async waitForDecision(afterRevision, timeoutMs, signal) {
      const options = {afterRevision, timeoutMs, ...(signal === undefined ? {} : {signal})};
      const result = await store.watch(DECISION_PREFIX, options);
      return result.map(() => undefined).mapErr(toRecordError);
    },
  };
}

/** Pairs tickets with their decisions, up to the first undecided ticket. */
export function decidedTickets(page: {
  readonly tickets: readonly Ticket[];
  readonly decisions: readonly Decision[];
}): readonly DecidedTicket[] {
  const decisions = new Map(page.decisions.map((decision) => [decision.number, decision]));
  const pairs: DecidedTicket[] = [];
  for (const ticket of page.tickets) {
    const decision = decisions.get(ticket.number);
    if (decision === undefined) break;
    pairs.push({ticket, decision});
  }
  return pairs;
}

/** Key of a ticket; the order of the keys is the order of the numbers. */
export function ticketKey(number: number): string {
  return ticketPrefix + padNumber(number);
}

/** Key of a decision; the order of the keys is the order of the numbers. */
export function decisionKey(number: number): string {
  return DECISION_PREFIX + padNumber(number);
}

function padNumber(number: number): string {
  return String(number).padStart(NUMBER_DIGITS, '0');
}

function classifyTicketEntry(
  entry: KeyValueEntry,
  ticket: Ticket,
  isValid: ValidityCheck<Ticket>,
): ExistingEntryClass {
  const found = readEntry(entry, ticketSchema, ticketKey);
  if (found === undefined || !isValid(found)) return 'invalid';
  if (found.id !== ticket.id) return 'taken';
  return isSameSubmission(found, ticket) ? 'same' : 'taken';
}

/** Whether two tickets come from the same submission; a retry of it may have another number and time. */
export function isSameSubmission(a: Ticket, b: Ticket): boolean {
  return a.id === b.id && submittedContent(a) === submittedContent(b);
}

function submittedContent({author, reason, changes}: Ticket): string {
  return canonicalJson({author, reason, changes});
}

function classifyDecisionEntry(
  entry: KeyValueEntry,
  decision: Decision,
  isValid: ValidityCheck<Decision>,
): ExistingEntryClass {
  const found = readEntry(entry, decisionSchema, decisionKey);
  if (found === undefined || !isValid(found)) return 'invalid';
  return isSameVerdict(found, decision) ? 'same' : 'taken';
}

/** Whether two decisions have the same verdict on the same ticket; times and notes may differ. */
export function isSameVerdict(a: Decision, b: Decision): boolean {
  return (
    a.verdict === b.verdict && a.ticketDigest === b.ticketDigest && a.stateDigest === b.stateDigest
  );
}

function numberTakenError(entry: KeyValueEntry, number: number): RecordError {
  const existing = readEntry(entry, ticketSchema, ticketKey);
  const by = existing === undefined ? '' : ` by ${existing.author}: "${existing.reason}"`;
  const message = `number ${number} is already taken${by} (${existing?.id ?? 'another submission'})`;
  return {code: 'number_taken', message, mayHaveTakenEffect: false};
}

function alreadyDecidedError(entry: KeyValueEntry, number: number): RecordError {
  const verdict = readEntry(entry, decisionSchema, decisionKey)?.verdict ?? 'decided';
  const message = `ticket ${number} was ${verdict} by another decision`;
  return {code: 'already_decided', message, mayHaveTakenEffect: false};
}

function readEntry<T extends {readonly number: number}>(
  entry: KeyValueEntry,
  schema: z.ZodType<T>,
  keyOf: (number: number) => string,
): T | undefined {
  const parsed = schema.safeParse(parseEntry(entry));
  if (!parsed.success || keyOf(parsed.data.number) !== entry.key) return undefined;
  return parsed.data;
}

async function read(
  store: KeyValue,
  after: number,
  limit?: number,
): Promise<Result<RecordPage, RecordError>> {
  // Decisions are read first: a ticket is always written before its decision, so no decision lacks its ticket.
  const decisions = await store.list(DECISION_PREFIX, listOptions(decisionKey(after + 1), limit));
  if (decisions.isErr()) return err(toRecordError(decisions.error));
  const tickets = await store.list(ticketPrefix, listOptions(ticketKey(after + 1), limit));
  if (tickets.isErr()) return err(toRecordError(tickets.error));
  const {entries, revision} = decisions.value;
  return addArchivedTickets(store, buildPage(tickets.value.entries, entries, revision), after);
}

async function readDecided(
  store: KeyValue,
  after: number,
): Promise<Result<RecordPage, RecordError>> {
  const decisions = await store.list(DECISION_PREFIX, {from: decisionKey(after + 1)});
  if (decisions.isErr()) return err(toRecordError(decisions.error));
  const {entries, revision} = decisions.value;
  if (entries.length === 0) return ok({tickets: [], decisions: [], unreadable: [], revision});
  const tickets = await store.list(ticketPrefix, {from: ticketKey(after + 1)});
  if (tickets.isErr()) return err(toRecordError(tickets.error));
  return addArchivedTickets(store, buildPage(tickets.value.entries, entries, revision), after);
}

function listOptions(from: string, limit: number | undefined) {
  return limit === undefined ? {from} : {from, limit};
}

function buildPage(
  ticketEntries: readonly KeyValueEntry[],
  decisionEntries: readonly KeyValueEntry[],
  revision: Revision,
): RecordPage {
  const unreadable: UnreadableEntry[] = [];
  const tickets: Ticket[] = [];
  for (const entry of ticketEntries) {
    const ticket = readEntry(entry, ticketSchema, ticketKey);
    if (ticket === undefined) unreadable.push(describeUnreadable(entry));
    else tickets.push(ticket);
  }
  const decisions: Decision[] = [];
  for (const entry of decisionEntries) {
    const decision = readEntry(entry, decisionSchema, decisionKey);
    if (decision === undefined) unreadable.push(describeUnreadable(entry));
    else decisions.push(decision);
  }
  return {tickets, decisions, unreadable, revision};
}

/** Prepends the tickets that were moved into archive segments to a page of tickets that have their own keys. */
async function addArchivedTickets(
  store: KeyValue,
  page: RecordPage,
  after: number,
): Promise<Result<RecordPage, RecordError>> {
  const contiguous = takeContiguous(page.tickets, after);
  const hasGap = contiguous.length < page.tickets.length;
  const lacksTickets = page.tickets.length === 0 && page.decisions.length > 0;
  if (!hasGap && !lacksTickets) return ok({...page, tickets: contiguous});
  const archived = await readSegments(store, after + 1);
  if (archived.isErr()) return err(archived.error);
  const lastArchived = after + archived.value.length;
  const tickets = [
    ...archived.value.map(({ticket}) => ticket),
    ...page.tickets.filter(({number}) => number > lastArchived),
  ];
  const decisions = [
    ...archived.value.map(({decision}) => decision),
    ...page.decisions.filter(({number}) => number > lastArchived),
  ];
  return ok({...page, tickets: takeContiguous(tickets, after), decisions});
}

/** Returns the tickets up to the first gap; later ones cannot be linked to the chain. */
function takeContiguous(tickets: readonly Ticket[], after: number): readonly Ticket[] {
  const contiguous: Ticket[] = [];
  for (const ticket of tickets) {
    if (ticket.number !== after + contiguous.length + 1) break;
    contiguous.push(ticket);
  }
  return contiguous;
}

function describeUnreadable({key}: KeyValueEntry): UnreadableEntry {
  return {key, message: `the record at ${key} is invalid`};
}
