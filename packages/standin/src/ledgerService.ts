/** A plain service stand-in: a ledger whose postings may not be repeated. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody, sendJson, serverLimitsSchema} from '@marigoldfold/transport';
import {z} from 'zod';

const limits = serverLimitsSchema.parse({});
const postingSchema = z.object({account: z.string(), pence: z.int()});
const balancePath = /^\/balances\/([^/?]+)$/;
const STATUS = {ok: 200, created: 201, badRequest: 400, notFound: 404} as const;

/** One posting that was run. */
export interface Posting {
  readonly account: string;
  readonly pence: number;
  /** Value of the `x-request-id` header. */
  readonly requestId: string;
}

/** What the ledger does with a posting instead of running and answering it. */
export type LedgerFault =
  /** The connection ends before the posting runs. */
  | 'request-lost'
  /** The posting runs and the connection ends. */
  | 'answer-lost'
  /** The posting runs and nothing is answered. */
  | 'hang';

/** The ledger; it counts every posting that it runs. */
export class Ledger {
  readonly postings: Posting[] = [];
  /** Chooses the fault of a posting; none when absent. */
  chooseFault: ((posting: Posting) => LedgerFault | undefined) | undefined;

  /** Runs a posting. */
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

/** Handles a request to the ledger. */
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
      sendJson(response, STATUS.badRequest, {message: 'a posting needs account and pence'});
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
