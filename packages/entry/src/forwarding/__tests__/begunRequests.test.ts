import {afterEach, expect, test} from 'vitest';
import {
  closeWithoutResponse,
  events,
  inSequence,
  respondOk,
} from '../__fixtures__/endpointScripts.js';
import {
  createRoute,
  createRoutingConfiguration,
  createSignedHeaders,
  type EndpointScript,
  ForwardRig,
} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

afterEach(async () => {
  await rig.stop();
});

const respondWith =
  (status: number, extra: Readonly<Record<string, string>> = {}): EndpointScript =>
  (response, {request}) => {
    response.writeHead(status, {...createSignedHeaders(request), ...extra}).end('text');
  };
/** Sends the text of a stream, and breaks it off. */
const breakAfter =
  (text: string): EndpointScript =>
  (response, {request}) => {
    response.writeHead(200, createSignedHeaders(request));
    response.write(text, () => response.destroy());
  };
const respondWithEvents =
  (text: string): EndpointScript =>
  (response, {request}) => {
    response.writeHead(200, createSignedHeaders(request)).end(text);
  };

/** Requests by account, each with the route's path, the endpoints' scripts in turn, and whether it counts. */
const requests: Readonly<Record<string, readonly [string, EndpointScript, number]>> = {
  plain: ['/plain/', respondOk, 1],
  'not found': ['/plain/', respondWith(404), 1],
  'failed twice': ['/plain/', respondWith(500), 1],
  'failed, unsigned': ['/plain/', (response) => void response.writeHead(504).end(), 1],
  'failed, then served': ['/plain/', inSequence(respondWith(500), respondOk), 1],
  'lost, then served': ['/plain/', inSequence(closeWithoutResponse, respondOk), 1],
  lost: ['/plain/', closeWithoutResponse, 0],
  unsigned: ['/plain/', (response) => void response.writeHead(200).end('text'), 0],
  'not found, unsigned': ['/plain/', (response) => void response.writeHead(404).end('text'), 0],
  'not executed': ['/plain/', respondWith(503, {'x-not-executed': 'yes'}), 0],
  'not executed stream': ['/stream/', respondWith(429, {'x-not-executed': 'yes'}), 0],
  stream: ['/stream/', respondWithEvents(events(1, 3)), 1],
  'stream that may not be resumed': ['/whole/', respondWithEvents(events(1, 3)), 1],
  'resumed stream': [
    '/stream/',
    inSequence(breakAfter(events(1, 2)), respondWithEvents(events(3, 4))),
    1,
  ],
  'failed stream': ['/stream/', respondWith(500), 1],
  'stream without an event': ['/stream/', breakAfter(': comment\n\n'), 0],
};

// Guards against counting refusals, which did not run, and against counting requests twice that were sent twice.
test('a request is counted for its account once, when its response begins', async () => {
  const counted: Record<string, number> = {};
  const counts = (report: {readonly counts: Readonly<Record<string, number>>}) => {
    for (const [account, count] of Object.entries(report.counts))
      counted[account] = (counted[account] ?? 0) + count;
    return Promise.resolve('accepted' as const);
  };
  const duties = {
    leaseMs: 3000,
    windowMs: 5000,
    lateMs: 10_000,
    holderKey: 'duties/holder',
    usageKey: 'duties/usage',
    reportUsage: counts,
  };
  rig = new ForwardRig({duties});
  const serve: EndpointScript = (response, received) => {
    const account = received.request.headers['x-account'];
    const script = account === undefined ? respondOk : requests[String(account)]?.[1];
    return script?.(response, received);
  };
  for (const id of ['e1', 'e2', 'e3']) await rig.addEndpoint(id, serve);
  const common = {allowsAnonymous: true, maxAttempts: 2};
  await rig.start(
    createRoutingConfiguration({
      routes: [
        createRoute({...common, prefix: '/plain/'}),
        createRoute({...common, prefix: '/stream/', kind: 'stream', isResumable: true}),
        createRoute({...common, prefix: '/whole/', kind: 'stream'}),
      ],
      accounts: Object.keys(requests).map((name) => ({name, keys: [name], priority: undefined})),
    }),
  );
  for (const [key, [path]] of Object.entries(requests))
    await rig.sendRequest({'x-id': `id ${key}`, 'x-key': key}, {path}).catch(() => undefined);
  await rig.sendRequest({'x-id': 'anonymous', 'x-key': undefined}, {path: '/plain/'});
  await rig.advance(15_000);
  const expected = Object.entries(requests).filter(([, [, , count]]) => count > 0);
  expect(counted).toEqual(Object.fromEntries(expected.map(([key, [, , count]]) => [key, count])));
});
