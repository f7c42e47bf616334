/** HTTP client of the operators' API of an entry. */
import {
  type ClaimPage,
  claimPageSchema,
  type ClaimQuery,
  type ClaimView,
  claimViewSchema,
  type OperatorError,
  operatorErrorSchema,
  type Preview,
  previewSchema,
  proposalAnswerSchema,
  type Proposal,
  recordAnswerSchema,
  type SettlementRequest,
  type Status,
  statusSchema,
} from '@marigoldfold/entry';
import type {Decision, Ticket} from '@marigoldfold/state';
import {createHttpClient, type HttpClient} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/** Address of an entry's operators' port and the operator's credentials. */
export interface OperatorClientOptions {
  /** `host:port` of an entry's operators' port. */
  readonly address: string;
  readonly operatorKey: string;
}

/** The tickets and decisions of the record, with the stored values that could not be parsed. */
export interface RecordAnswer {
  readonly tickets: readonly Ticket[];
  readonly decisions: readonly Decision[];
  readonly unreadable?: readonly {readonly key: string; readonly message: string}[];
}

/** Client of the operators' API; each call times out after 10 s. */
export interface OperatorClient extends Disposable {
  propose(proposal: Proposal): Promise<Result<Ticket, OperatorError>>;
  /** Validates a proposal and returns what it would change; writes nothing. */
  preview(proposal: Proposal): Promise<Result<Preview, OperatorError>>;
  decide(decision: Decision): Promise<Result<void, OperatorError>>;
  readRecord(after: number): Promise<Result<RecordAnswer, OperatorError>>;
  /** The configuration in force at each instance; with a ticket, also since when that ticket is in force. */
  status(ticket?: number): Promise<Result<Status, OperatorError>>;
  listClaims(query: ClaimQuery): Promise<Result<ClaimPage, OperatorError>>;
  showClaim(account: string, keyDigest: string): Promise<Result<ClaimView, OperatorError>>;
  settleClaim(request: SettlementRequest): Promise<Result<ClaimView, OperatorError>>;
}

const TIMEOUT_MS = 10_000;
const OK = 200;

/** Creates a client; connections open with the first call. */
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
  const client = createHttpClient();
  return {
    propose: async (proposal) => {
      const answer = await callApi(
        client,
        options,
        'POST',
        '/tickets',
        proposalAnswerSchema,
        proposal,
      );
      return answer.map(({ticket}) => ticket);
    },
    preview: (proposal) => callApi(client, options, 'POST', '/previews', previewSchema, proposal),
    decide: async (decision) => {
      const answer = await callApi(client, options, 'POST', '/decisions', z.unknown(), decision);
      return answer.map(() => undefined);
    },
    readRecord: (after) => readAllPages(client, options, after),
    status: (ticket) => {
      const query = ticket === undefined ? '' : `?ticket=${ticket}`;
      return callApi(client, options, 'GET', `/status${query}`, statusSchema);
    },
    listClaims: ({account, onlyPending, after}) => {
      const query = new URLSearchParams({
        pending: String(onlyPending),
        ...(account === undefined ? {} : {account}),
        ...(after === undefined ? {} : {after}),
      });
      return callApi(client, options, 'GET', `/claims?${query.toString()}`, claimPageSchema);
    },
    showClaim: (account, key) => {
      const query = new URLSearchParams({account, key});
      return callApi(client, options, 'GET', `/claims?${query.toString()}`, claimViewSchema);
    },
    settleClaim: (request) =>
      callApi(client, options, 'POST', '/claims/settle', claimViewSchema, request),
    [Symbol.dispose]() {
      client[Symbol.dispose]();
    },
  };
}

/** Reads all pages of the record; ends at the first page without new tickets. */
async function readAllPages(
  client: HttpClient,
  options: OperatorClientOptions,
  after: number,
): Promise<Result<RecordAnswer, OperatorError>> {
  const collected = {
    tickets: new Map<number, Ticket>(),
    decisions: new Map<number, Decision>(),
    unreadable: new Map<string, {readonly key: string; readonly message: string}>(),
  };
  let last = after;
  while (true) {
    const path = `/tickets?after=${last}`;
    const page = await callApi(client, options, 'GET', path, recordAnswerSchema);
    if (page.isErr()) return err(page.error);
    const {tickets, decisions, unreadable} = page.value;
    for (const ticket of tickets) collected.tickets.set(ticket.number, ticket);
    for (const decision of decisions) collected.decisions.set(decision.number, decision);
    for (const each of unreadable) collected.unreadable.set(each.key, each);
    const newest = tickets.at(-1)?.number;
    if (newest === undefined || newest <= last) break;
    last = newest;
  }
  return ok({
    tickets: [...collected.tickets.values()],
    decisions: [...collected.decisions.values()],
    unreadable: [...collected.unreadable.values()],
  });
}

async function callApi<T>(
  client: HttpClient,
  {address, operatorKey}: OperatorClientOptions,
  method: 'GET' | 'POST',
  path: string,
  schema: z.ZodType<T>,
  body?: unknown,
): Promise<Result<T, OperatorError>> {
  const isWrite = method === 'POST' && path !== '/previews';
  const answer = await client.fetch({
    address,
    method,
    path,
    headers: {authorization: `Bearer ${operatorKey}`, 'content-type': 'application/json'},
    ...(body === undefined ? {} : {body: JSON.stringify(body)}),
    timeoutMs: TIMEOUT_MS,
  });
  if (answer.isErr()) {
    const {message, mayHaveBeenSent} = answer.error;
    const mayHaveTakenEffect = isWrite && mayHaveBeenSent;
    return err({code: 'unreachable', message, mayHaveTakenEffect, problems: []});
  }
  const document = parseJson(answer.value.body.toString());
  if (answer.value.status === OK) {
    const checked = schema.safeParse(document);
    if (checked.success) return ok(checked.data);
  }
  const errorAnswer = operatorErrorSchema.safeParse(document);
  if (errorAnswer.success) return err(errorAnswer.data.error);
  const message = `${address} sent an unreadable response (status ${answer.value.status})`;
  return err({code: 'unreadable', message, mayHaveTakenEffect: isWrite, problems: []});
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Formats an error for an operator: message, problems, and whether the command may have taken effect. */
export function formatOperatorError(error: OperatorError): string {
  const effect = error.mayHaveTakenEffect
    ? 'The command may have taken effect; run it again to find out.'
    : 'The command has not taken effect.';
  return [error.message, ...error.problems.map((problem) => `  ${problem}`), effect].join('\n');
}
