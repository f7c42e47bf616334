/** Service stand-in: a ledger with non-idempotent postings. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody, sendJson, serverLimitsSchema} from '@marigoldfold/transport';
import {z} from 'zod';

const limits = serverLimitsSchema.parse({});
const postingSchema = z.object({account: z.string(), pence: z.int()});
const balancePath = /^\/balances\/([^/?]+)$/;
const STATUS = {ok: 200, created: 201, badRequest: 400, notFound: 404} as const;

/** An executed change of an account's balance. */
export interface Posting {
  readonly account: string;
  readonly pence: number;
  /** Value of the `x-request-id` header. */
  readonly requestId: string;
}

/** How the HTTP request for a posting fails. */
export type LedgerFault =
  /** The connection is closed and the posting is not executed. */
  | 'request-lost'
  /** The posting is executed and the connection is closed without a response. */
  | 'answer-lost'
  /** The posting is executed and no response is sent; the connection stays open. */
  | 'hang';

/** The ledger; it records every executed posting, so tests can detect repeated ones. */
export class Ledger {
  readonly postings: Posting[] = [];
  /** Chooses the fault of a posting; undefined for none. */
  chooseFault: ((posting: Posting) => LedgerFault | undefined) | undefined;

  /** Executes a posting. */
  post(posting: Posting): void {
    this.postings.push(posting);
  }

  /** The balance of an account in pence. */
  balance(account: string): number {
    let sum = 0;
    for (const posting of this.postings) if (posting.account === account) sum += posting.pence;
    return sum;
  }
}

/** Creates the request handler of the ledger. */
export function serveLedger(ledger: Ledger) {
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = request.url ?? '';
    const account = balancePath.exec(url)?.[1];
    if (request.method === 'GET' && account !== undefined) {
      sendJson(response, STATUS.ok, {account, pence: ledger.balance(account)});
      return;
    }
    if (request.method !== 'POST' || url !== '/postings') {
      sendJson(response, STATUS.notFound, {message: `no such path: ${url}`});
      return;
    }
    const body = await readBody(request, limits);
    const posting = body.isErr() ? undefined : readPosting(body.value);
    if (posting === undefined) {
      sendJson(response, STATUS.badRequest, {message: 'a posting requires account and pence'});
      return;
    }
    const requestId = String(request.headers['x-request-id'] ?? '');
    const fault = ledger.chooseFault?.({...posting, requestId});
    if (fault !== 'request-lost') ledger.post({...posting, requestId});
    if (fault !== undefined) {
      if (fault !== 'hang') response.destroy();
      return;
    }
    const receipt = {number: ledger.postings.length, balance: ledger.balance(posting.account)};
    sendJson(response, STATUS.created, receipt);
  };
}

function readPosting(body: Buffer): {account: string; pence: number} | undefined {
  try {
    return postingSchema.parse(JSON.parse(body.toString()));
  } catch {
    return undefined;
  }
}
