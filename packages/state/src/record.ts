/** The record of tickets and decisions in the key-value service. */
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

/** Prefix of all tickets. */
export const ticketPrefix = 'tickets/';
const DECISION_PREFIX = 'decisions/';
const NUMBER_DIGITS = 10;

/** Prefix of all decisions, for watches. */
export const decisionPrefix = DECISION_PREFIX;

/** A value in the record that cannot be read; it counts as absent. */
export interface UnreadableEntry {
  readonly key: string;
  readonly message: string;
}

/** Tickets and decisions above a number, in order, and the revision at which they were read. */
export interface RecordPage {
  readonly tickets: readonly Ticket[];
  readonly decisions: readonly Decision[];
  readonly unreadable: readonly UnreadableEntry[];
  readonly revision: number;
}

/** Whether what stands under a number may stay there; it is replaced when not. */
export type ValidityCheck<T> = (found: T) => boolean;

/** Reads and writes the record. */
export interface TicketRecord {
  /**
   * Creates a ticket under its number; a repeated submission of the same id succeeds.
   * A ticket for which `isValid` is false is replaced: it could never be decided.
   */
  propose(ticket: Ticket, isValid: ValidityCheck<Ticket>): Promise<Result<void, RecordError>>;
  /**
   * Creates the decision on a ticket; repeating the same verdict succeeds.
   * A decision for which `isValid` is false is replaced, so that it cannot block the number.
   */
  decide(decision: Decision, isValid: ValidityCheck<Decision>): Promise<Result<void, RecordError>>;
  /** Tickets and decisions with numbers above `after`, at most `limit` of each; one call when there is no new decision and none is wanted. */
  read(after: number, limit?: number): Promise<Result<RecordPage, RecordError>>;
  /** Decided tickets with numbers above `after`; a single call when there are none. */
  readDecided(after: number): Promise<Result<RecordPage, RecordError>>;
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
      const answer = await store.watch(DECISION_PREFIX, options);
      return answer.map(() => undefined).mapErr(toRecordError);
    },
  };
}

/** Pairs tickets with their decisions, up to the first undecided one. */
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

/** Key of a ticket in the service. */
export function ticketKey(number: number): string {
  return ticketPrefix + padNumber(number);
}

/** Key of a decision in the service. */
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

/** Whether two tickets come from one submission; number and time may differ between its tries. */
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

/** Whether two decisions say the same of the same ticket; their times and notes may differ. */
export function isSameVerdict(a: Decision, b: Decision): boolean {
  return (
    a.verdict === b.verdict && a.ticketDigest === b.ticketDigest && a.stateDigest === b.stateDigest
  );
}

function numberTakenError(entry: KeyValueEntry, number: number): RecordError {
  const winner = readEntry(entry, ticketSchema, ticketKey);
  const by = winner === undefined ? '' : ` by ${winner.author}: "${winner.reason}"`;
  const message = `number ${number} was taken${by} (${winner?.id ?? 'another submission'})`;
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
  const checked = schema.safeParse(parseEntry(entry));
  if (!checked.success || keyOf(checked.data.number) !== entry.key) return undefined;
  return checked.data;
}

async function read(
  store: KeyValue,
  after: number,
  limit?: number,
): Promise<Result<RecordPage, RecordError>> {
  // Decisions first: a ticket always exists before its decision, so no decision lacks its ticket.
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
  revision: number,
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

/** Puts the tickets that were folded into segments before those that have keys of their own. */
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
  const last = after + archived.value.length;
  const tickets = [
    ...archived.value.map(({ticket}) => ticket),
    ...page.tickets.filter(({number}) => number > last),
  ];
  const decisions = [
    ...archived.value.map(({decision}) => decision),
    ...page.decisions.filter(({number}) => number > last),
  ];
  return ok({...page, tickets: takeContiguous(tickets, after), decisions});
}

/** The tickets that follow one another; what stands behind a gap has no place in the chain yet. */
function takeContiguous(tickets: readonly Ticket[], after: number): readonly Ticket[] {
  const contiguous: Ticket[] = [];
  for (const ticket of tickets) {
    if (ticket.number !== after + contiguous.length + 1) break;
    contiguous.push(ticket);
  }
  return contiguous;
}

function describeUnreadable({key}: KeyValueEntry): UnreadableEntry {
  return {key, message: `the record under ${key} cannot be read`};
}
