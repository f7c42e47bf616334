/** Measures the cost of an idempotency claim, against a call that needs none. */
import {startLocalSystem} from '@marigoldfold/cli';
import {silentLogger} from '@marigoldfold/runtime';
import {digestText, type Draft} from '@marigoldfold/state';
import {type ClientRequest, createHttpClient, type HttpClient} from '@marigoldfold/transport';
import {build, type Histogram} from 'hdr-histogram-js';

/** Latency and key-value service calls of one kind of call, such as calls with a new idempotency key. */
export interface CallTimes {
  readonly kind: 'routed, no claim' | 'routed, claimed' | 'routed, repeated key';
  /** Latency quantiles in milliseconds. */
  readonly p50: number;
  readonly p99: number;
  /** Calls to the key-value service per call. */
  readonly storeCalls: number;
}

const OK_STATUSES: ReadonlySet<number> = new Set([200, 201]);
const WARM_UP_CALLS = 100;
const UNLIMITED = 1_000_000;
const MICROSECONDS_PER_MS = 1000;

type Kind = CallTimes['kind'];

const kinds: readonly Kind[] = ['routed, no claim', 'routed, claimed', 'routed, repeated key'];

/** Makes a number of calls of each kind on a local system, one at a time. Throws when a call fails. */
export async function measureClaimCost(calls: number): Promise<readonly CallTimes[]> {
  const started = await startLocalSystem({port: 0, operatorsPort: 0, logger: silentLogger});
  using system = started._unsafeUnwrap();
  const changed = await system.applyDraft(unlimitedAccount(system.keys.client));
  if (changed.isErr()) throw new Error(changed.error);
  using client = createHttpClient();
  const requestOf = (kind: Kind, index: number) =>
    toRequest(system.entry.callers.address, system.keys.client, kind, index);
  const times: CallTimes[] = [];
  for (const kind of kinds) {
    for (let index = 0; index < WARM_UP_CALLS; index += 1) {
      await timeCall(client, requestOf(kind, -1 - index));
    }
    const histogram = build();
    const callsBefore = system.keyValue.implementation.callCount;
    for (let index = 0; index < calls; index += 1) {
      histogram.recordValue(await timeCall(client, requestOf(kind, index)));
    }
    const storeCalls = (system.keyValue.implementation.callCount - callsBefore) / calls;
    times.push({kind, storeCalls, ...quantiles(histogram)});
  }
  return times;
}

function unlimitedAccount(clientKey: string): Draft {
  const state = {
    keyDigests: [digestText(clientKey)],
    classes: ['urgent', 'standard', 'bulk'],
    defaultClass: 'urgent',
    requestsPerSecond: UNLIMITED,
    burst: UNLIMITED,
    concurrency: UNLIMITED,
  };
  return {reason: 'no limits', changes: [{kind: 'account', name: 'demo', state}]};
}

function toRequest(address: string, key: string, kind: Kind, index: number): ClientRequest {
  const headers = {authorization: `Bearer ${key}`, 'content-type': 'application/json'};
  if (kind === 'routed, no claim') {
    return {address, method: 'GET', path: '/v1/services/ledger/balances/choir', headers};
  }
  return {
    address,
    method: 'POST',
    path: '/v1/services/ledger/postings',
    // Both the second and the third kind of call use these keys, so calls of the third kind are repeats.
    headers: {...headers, 'idempotency-key': `posting-${index}`},
    body: JSON.stringify({account: 'choir', pence: 100}),
  };
}

/** Duration of a call in microseconds. */
async function timeCall(client: HttpClient, request: ClientRequest): Promise<number> {
  const startedAt = performance.now();
  const response = await client.fetch(request);
  const elapsedMs = performance.now() - startedAt;
  if (response.isErr()) throw new Error(response.error.message);
  if (!OK_STATUSES.has(response.value.status)) throw new Error(response.value.body.toString());
  return Math.round(elapsedMs * MICROSECONDS_PER_MS);
}

function quantiles(histogram: Histogram): {readonly p50: number; readonly p99: number} {
  const ofPercent = (percent: number) =>
    histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MS;
  return {p50: ofPercent(50), p99: ofPercent(99)};
}
