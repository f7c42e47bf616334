import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import type {MetadataCodec} from '../metadataCodec.js';
import {events, inSequence, respondOk, startRouter} from '../__fixtures__/endpointScripts.js';
import {
  createSignedHeaders,
  type EndpointScript,
  ForwardRig,
  waitUntil,
} from '../__fixtures__/forwardRig.js';
import {testCodec} from '../__fixtures__/testCodec.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

/** Responds with a status line as it stands, and headers that make the response valid otherwise. */
function respondWithStatusLine(statusLine: string): EndpointScript {
  return (response, {request}) => {
    const id = String(request.headers['x-id']);
    response.socket?.end(
      `${statusLine}\r\nx-id: ${id}\r\nx-signed: yes\r\ncontent-length: 4\r\n\r\nwell`,
      'latin1',
    );
  };
}

/** Node.js reads this status line from a server, and refuses to send it to a client. */
const CONTROL_BYTE_LINE = 'HTTP/1.1 400 Bad\x01Request';

const damagedLines = [
  ['a control byte in its reason', CONTROL_BYTE_LINE],
  ['the status 000', 'HTTP/1.1 000 OK'],
  ['the status 099', 'HTTP/1.1 099 OK'],
  ['the status 600', 'HTTP/1.1 600 OK'],
  ['the status 999', 'HTTP/1.1 999 OK'],
] as const;

describe('a response whose head cannot be passed on', () => {
  test.each(damagedLines)('with %s, is replaced by a retry', async (_name, line) => {
    await startRouter(rig, inSequence(respondWithStatusLine(line), respondOk));
    expect(await rig.sendRequest()).toMatchObject({status: 200, body: 'well', isComplete: true});
  });

  test.each(damagedLines)('with %s, is a failure without a retry', async (_name, line) => {
    const {received} = await startRouter(rig, respondWithStatusLine(line), {kind: 'nonIdempotent'});
    expect(await rig.sendRequest({}, {method: 'POST'})).toMatchObject({
      status: 502,
      body: JSON.stringify({error: 'answer_broken'}),
    });
    expect(received()).toHaveLength(1);
  });
});

function startStream(response: ServerResponse, request: IncomingMessage): void {
  response.writeHead(200, {...createSignedHeaders(request), 'content-type': 'text/event-stream'});
  response.flushHeaders();
}

// Guards against the end of the process by a damaged response of the endpoint that is asked beside a silent one.
test('a damaged response beside a silent stream ends neither the stream nor the process', async () => {
  const streams: ServerResponse[] = [];
  const silent: EndpointScript = (response, {request}) => {
    streams.push(response);
    startStream(response, request);
  };
  const route = {kind: 'stream', isResumable: true, pauseTargetMs: 100} as const;
  const script = inSequence(silent, respondWithStatusLine(CONTROL_BYTE_LINE));
  const {received} = await startRouter(rig, script, route);
  const result = rig.sendRequest();
  await waitUntil(() => streams.length === 1);
  while (received().length < 2) {
    await rig.advance(50);
    await delay(4);
  }
  await delay(50);
  streams[0]!.end(events(1, 2));
  expect(await result).toMatchObject({status: 200, body: events(1, 2), isComplete: true});
});

/** A codec with a defect: it throws on some responses. */
const defectiveCodec: MetadataCodec = {
  ...testCodec,
  responseHeaders: [...testCodec.responseHeaders, 'x-defect'],
  decodeResponse: (status, headers) => {
    if (headers['x-defect'] !== undefined) throw new Error('defect');
    return testCodec.decodeResponse(status, headers);
  },
};

const respondWithDefect: EndpointScript = (response, {request}) => {
  response.writeHead(200, {...createSignedHeaders(request), 'x-defect': '1'}).end('well');
};

// Guards against the end of the process, or of other requests, by an exception in the handling of one response.
describe('an unexpected exception', () => {
  beforeEach(async () => {
    await rig.stop();
    rig = new ForwardRig({codec: defectiveCodec});
  });

  test('in an attempt counts as one that may have been executed', async () => {
    await startRouter(rig, respondWithDefect, {kind: 'nonIdempotent'});
    const result = await rig.sendRequest({}, {method: 'POST'});
    expect(result).toMatchObject({status: 502, body: JSON.stringify({error: 'answer_broken'})});
    expect(rig.logEntries).toContainEqual(
      expect.objectContaining({message: 'unexpected exception', place: 'attempt', request: 'id-1'}),
    );
  });

  test('in an attempt is followed by a retry where that is allowed', async () => {
    await startRouter(rig, inSequence(respondWithDefect, respondOk));
    expect(await rig.sendRequest()).toMatchObject({status: 200, body: 'well'});
  });
});
