/** The HTTP API for operators, the monitor and the metrics collector. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {checkDocument, formatProblem} from '@marigoldfold/runtime';
import {decisionSchema} from '@marigoldfold/state';
import {
  type BodyError,
  type MemoryBudget,
  readPinnedBody,
  sendJson,
  type ServerLimits,
} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import type {Registry} from 'prom-client';
import type {z} from 'zod';
import type {ClaimManager} from './claimManager.js';
import {
  type OperatorError,
  proposalSchema,
  settlementRequestSchema,
  type Status,
} from './operatorMessages.js';
import type {EntrySettings} from './settings.js';
import type {TicketManager} from './ticketManager.js';

/** Operators' keys, managers, readiness and metrics that the operators' API needs. */
export interface OperatorsApiOptions {
  readonly operators: EntrySettings['operators'];
  readonly limits: ServerLimits;
  readonly memory: MemoryBudget;
  readonly ticketManager: TicketManager;
  readonly claimManager: ClaimManager;
  /** Queries the configuration that each instance has applied, and when a ticket took effect there. */
  readonly status: (ticket: number | undefined) => Promise<Status>;
  readonly isReady: () => boolean;
  readonly registry: Registry;
}

const STATUS = {
  ok: 200,
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  conflict: 409,
  unavailable: 503,
} as const;

const statusByCode: Readonly<Record<string, number>> = {
  store: STATUS.unavailable,
  memory_exhausted: STATUS.unavailable,
  stale: STATUS.unavailable,
  number_taken: STATUS.conflict,
  already_decided: STATUS.conflict,
  conflict: STATUS.conflict,
  not_found: STATUS.notFound,
};

/** Creates the request handler; health, readiness and metrics need no operator key. */
export function createOperatorsApi(options: OperatorsApiOptions) {
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://operators');
    if (await servePublic(options, url.pathname, response)) return;
    const operator = findOperator(options.operators, request);
    if (operator === undefined) {
      sendError(response, STATUS.unauthorized, {
        code: 'unauthenticated',
        message: "the operator's bearer key is missing or not known",
        mayHaveTakenEffect: false,
        problems: [],
      });
      return;
    }
    const {limits, memory: budget} = options;
    const readBody = () => readPinnedBody(request, response, limits, {budget, owner: operator});
    const answer = await serveOperator(options, {operator, url, request, readBody});
    if (answer.isOk()) sendJson(response, STATUS.ok, answer.value);
    else sendError(response, statusByCode[answer.error.code] ?? STATUS.badRequest, answer.error);
  };
}

async function servePublic(
  {isReady, registry}: OperatorsApiOptions,
  path: string,
  response: ServerResponse,
): Promise<boolean> {
  switch (path) {
    case '/healthz':
      sendJson(response, STATUS.ok, {status: 'ok'});
      return true;
    case '/readyz':
      sendJson(response, isReady() ? STATUS.ok : STATUS.unavailable, {ready: isReady()});
      return true;
    case '/metrics':
      response.writeHead(STATUS.ok, {'content-type': registry.contentType});
      response.end(await registry.metrics());
      return true;
    default:
      return false;
  }
}

/** An authenticated request of an operator. */
interface OperatorRequest {
  readonly operator: string;
  readonly url: URL;
  readonly request: IncomingMessage;
  readonly readBody: () => Promise<Result<Buffer, BodyError>>;
}

async function serveOperator(
  {ticketManager, claimManager, status}: OperatorsApiOptions,
  {operator, url, request, readBody}: OperatorRequest,
): Promise<Result<unknown, OperatorError>> {
  switch (`${request.method ?? ''} ${url.pathname}`) {
    case 'GET /status':
      return ok(await status(readNumber(url, 'ticket')));
    case 'GET /tickets':
      return ticketManager.read(readNumber(url, 'after') ?? 0);
    case 'POST /tickets': {
      const proposal = await readDocument(proposalSchema, readBody);
      if (proposal.isErr()) return err(proposal.error);
      return (await ticketManager.propose(operator, proposal.value)).map((ticket) => ({ticket}));
    }
    case 'POST /previews': {
      const proposal = await readDocument(proposalSchema, readBody);
      if (proposal.isErr()) return err(proposal.error);
      return ticketManager.preview(operator, proposal.value);
    }
    case 'POST /decisions': {
      const decision = await readDocument(decisionSchema, readBody);
      if (decision.isErr()) return err(decision.error);
      return (await ticketManager.decide(decision.value)).map(() => ({
        number: decision.value.number,
      }));
    }
    case 'GET /claims':
      return readClaims(claimManager, url);
    case 'POST /claims/settle': {
      const settlement = await readDocument(settlementRequestSchema, readBody);
      if (settlement.isErr()) return err(settlement.error);
      return claimManager.settle(operator, settlement.value);
    }
    default:
      return err(
        operatorRefusal('not_found', `${request.method ?? ''} ${url.pathname} does not exist`),
      );
  }
}

function readNumber(url: URL, name: string): number | undefined {
  const number = Number(url.searchParams.get(name) ?? Number.NaN);
  return Number.isSafeInteger(number) ? number : undefined;
}

/** Reads one claim when the query has a key digest, otherwise a page of claims. */
function readClaims(claimManager: ClaimManager, url: URL): Promise<Result<unknown, OperatorError>> {
  const account = url.searchParams.get('account') ?? undefined;
  const keyDigest = url.searchParams.get('key') ?? undefined;
  const after = url.searchParams.get('after') ?? undefined;
  if (keyDigest !== undefined) return claimManager.show(account ?? '', keyDigest);
  return claimManager.list({
    onlyPending: url.searchParams.get('pending') === 'true',
    ...(account === undefined ? {} : {account}),
    ...(after === undefined ? {} : {after}),
  });
}

async function readDocument<T>(
  schema: z.ZodType<T>,
  readBody: OperatorRequest['readBody'],
): Promise<Result<T, OperatorError>> {
  const body = await readBody();
  if (body.isErr() && body.error === 'no_memory')
    return err(operatorRefusal('memory_exhausted', 'the instance has no memory left'));
  if (body.isErr())
    return err(operatorRefusal('bad_request', `the body cannot be read: ${body.error}`));
  let document: unknown;
  try {
    document = JSON.parse(body.value.toString());
  } catch {
    return err(operatorRefusal('bad_request', 'the body is not JSON'));
  }
  return checkDocument(schema, document).mapErr((problems) => ({
    ...operatorRefusal('bad_request', 'the body does not match the schema of the request'),
    problems: problems.map(formatProblem),
  }));
}

function operatorRefusal(code: string, message: string): OperatorError {
  return {code, message, mayHaveTakenEffect: false, problems: []};
}

function findOperator(
  operators: EntrySettings['operators'],
  request: IncomingMessage,
): string | undefined {
  const key = (request.headers.authorization ?? '').replace(/^Bearer /, '');
  const digest = createHash('sha256').update(key).digest();
  for (const {name, keySha256} of operators) {
    if (timingSafeEqual(digest, Buffer.from(keySha256, 'hex'))) return name;
  }
  return undefined;
}

function sendError(response: ServerResponse, status: number, error: OperatorError): void {
  const headers = {connection: 'close', 'retry-after': '1'};
  sendJson(response, status, {error}, error.code === 'memory_exhausted' ? headers : {});
}
