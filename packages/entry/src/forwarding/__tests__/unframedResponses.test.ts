import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {events, inSequence, respondOk, startRouter} from '../__fixtures__/endpointScripts.js';
import {createSignedHeaders, type EndpointScript, ForwardRig} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

const head = (id: string) =>
  `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signed: yes\r\ncontent-type: text/event-stream\r\n\r\n`;

/** Responds with neither a length nor chunks: the response ends with its connection. */
function respondUntilClose(body: string): EndpointScript {
  return (response, {request}) => {
    response.socket?.end(head(String(request.headers['x-id'])) + body);
  };
}

/** Responds in chunks, with the end that HTTP prescribes. */
function respondInChunks(body: string): EndpointScript {
  return (response, {request}) => {
    response.writeHead(200, {...createSignedHeaders(request), 'content-type': 'text/event-stream'});
    response.end(body);
  };
}

const PARTIAL_EVENT = 'id: 3\ndata: 3';
const stream = {kind: 'stream'} as const;

describe('a stream that ends inside an event', () => {
  test.each([
    ['with its connection', respondUntilClose(events(1, 2) + PARTIAL_EVENT)],
    ['with its last chunk', respondInChunks(events(1, 2) + PARTIAL_EVENT)],
    ['after a line of the event', respondUntilClose(events(1, 2) + `${PARTIAL_EVENT}\n`)],
  ])('%s, is not passed on as complete', async (_name, script) => {
    await startRouter(rig, script, stream);
    const result = await rig.sendRequest();
    expect(result.body).toContain(events(1, 2));
    expect(result.isComplete).toBe(false);
  });

  test('is resumed at another endpoint if it may be', async () => {
    const script = inSequence(
      respondUntilClose(events(1, 2) + PARTIAL_EVENT),
      respondUntilClose(events(3, 4)),
    );
    await startRouter(rig, script, {...stream, isResumable: true, maxAttempts: 2});
    expect(await rig.sendRequest()).toMatchObject({body: events(1, 4), isComplete: true});
  });
});

describe('a response that ends with its connection', () => {
  test.each([events(1, 3), `${events(1, 3)}\n`, events(1, 3).replaceAll('\n', '\r\n')])(
    'is complete after an event: %j',
    async (body) => {
      await startRouter(rig, respondUntilClose(body), stream);
      expect(await rig.sendRequest()).toMatchObject({status: 200, body, isComplete: true});
    },
  );

  test.each([false, true])('is no answer without an event, resumable: %s', async (isResumable) => {
    await startRouter(rig, respondUntilClose(''), {...stream, isResumable}, ['e1']);
    expect((await rig.sendRequest()).status).toBe(502);
  });

  test('in the middle of its head is no answer, and the next request is served', async () => {
    const cutHead: EndpointScript = (response, {request}) => {
      response.socket?.end(head(String(request.headers['x-id'])).slice(0, -4));
    };
    await startRouter(rig, inSequence(cutHead, respondOk), {kind: 'nonIdempotent'}, ['e1']);
    expect(await rig.sendRequest({}, {method: 'POST'})).toMatchObject({status: 502});
    expect(await rig.sendRequest({'x-id': 'id-2'})).toMatchObject({status: 200, body: 'well'});
  });
});
