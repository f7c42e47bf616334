import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {
  respondOk,
  closeWithoutResponse,
  events,
  inSequence,
  startRouter,
} from '../__fixtures__/endpointScripts.js';
import {
  type EndpointScript,
  ForwardRig,
  createSignedHeaders,
  waitUntil,
} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(async () => {
  await rig.stop();
});

describe('a request', () => {
  test('is forwarded unchanged, and so is its response', async () => {
    const {received} = await startRouter(rig, respondOk, {kind: 'nonIdempotent'});
    const result = await rig.sendRequest(
      {'x-other': 'kept', 'x-account': 'forged'},
      {method: 'POST', path: '/x?y=1', body: 'order'},
    );
    expect(result).toMatchObject({status: 200, body: 'well', isComplete: true});
    expect(result.headers['x-signed']).toBe('yes');
    const [{request, body}] = received() as [ReturnType<typeof received>[number]];
    expect(request.method).toBe('POST');
    expect(request.url).toBe('/x?y=1');
    expect(body).toBe('order');
    expect(request.headers['x-other']).toBe('kept');
  });

  // Guards against header lines that Node.js drops from a head of legal size, of 1,000 lines or more.
  test('with a head of many lines is forwarded with all of them', async () => {
    const {received} = await startRouter(rig, respondOk);
    const lines = Array.from({length: 1300}, (_, line) => [`a${line}`, '1'] as const);
    const result = await rig.sendRequest(Object.fromEntries(lines));
    expect(result.status).toBe(200);
    const {headers} = received()[0]!.request;
    expect(lines.filter(([name]) => headers[name] !== '1')).toEqual([]);
  });

  test('without a route or with an unknown key is refused', async () => {
    await startRouter(rig, respondOk, {prefix: '/x/'});
    expect((await rig.sendRequest({}, {path: '/y/'})).status).toBe(404);
    expect((await rig.sendRequest({'x-key': 'other'}, {path: '/x/'})).status).toBe(401);
    expect((await rig.sendRequest({}, {path: '/x/'})).status).toBe(200);
  });

  test('with a body over the limit is refused', async () => {
    const {received} = await startRouter(rig, respondOk);
    const result = await rig.sendRequest({}, {method: 'POST', body: 'x'.repeat(2000)});
    expect(result.status).toBe(413);
    expect(received()).toHaveLength(0);
  });

  test('is refused with retry-after before the first configuration', async () => {
    await rig.start('none');
    expect(rig.process.isReady).toBe(false);
    const result = await rig.sendRequest();
    expect(result.status).toBe(503);
    expect(Number(result.headers['retry-after'])).toBeGreaterThan(0);
  });
});

describe('a non-idempotent request', () => {
  const route = {kind: 'nonIdempotent'} as const;

  test('is not retried when the connection closes without a response', async () => {
    const {received} = await startRouter(rig, closeWithoutResponse, route);
    expect((await rig.sendRequest({}, {method: 'POST'})).status).toBe(502);
    expect(received()).toHaveLength(1);
  });

  test('is retried at another endpoint when the first one reports that it was not executed', async () => {
    const refuse: EndpointScript = (response, {request}) => {
      response.writeHead(503, {...createSignedHeaders(request), 'x-not-executed': '1'}).end();
    };
    const {received} = await startRouter(rig, inSequence(refuse, respondOk), route);
    expect((await rig.sendRequest({}, {method: 'POST'})).status).toBe(200);
    expect(received()).toHaveLength(2);
  });

  test('is refused with retry-after when no endpoint executed it', async () => {
    const refuse: EndpointScript = (response, {request}) => {
      response.writeHead(503, {...createSignedHeaders(request), 'x-not-executed': '1'}).end();
    };
    await startRouter(rig, refuse, route);
    const result = await rig.sendRequest({}, {method: 'POST'});
    expect(result.status).toBe(503);
    expect(result.headers['retry-after']).toBeDefined();
  });

  test('is not refused as unexecuted when no endpoint reported that', async () => {
    const respondUnavailable: EndpointScript = (response, {request}) => {
      response.writeHead(503, createSignedHeaders(request)).end();
    };
    const {received} = await startRouter(rig, respondUnavailable, route);
    expect((await rig.sendRequest({}, {method: 'POST'})).status).toBe(502);
    expect(received()).toHaveLength(1);
  });

  test('is retried at another endpoint when the first one is unreachable', async () => {
    const {received} = await startRouter(rig, respondOk, route, ['e2']);
    await rig.register({id: 'e1', address: '127.0.0.1:1'});
    await rig.syncStore();
    for (let count = 0; count < 4; count += 1) {
      expect((await rig.sendRequest({}, {method: 'POST'})).status).toBe(200);
    }
    expect(received()).toHaveLength(4);
  });
});

describe('when many endpoints are lost at once', () => {
  test('attempts that reach none do not use up the retry budget', async () => {
    for (let number = 1; number <= 60; number += 1) {
      await rig.register({id: `d${number}`, address: '127.0.0.1:1'});
    }
    const {received} = await startRouter(rig, respondOk, {kind: 'nonIdempotent'}, ['e1']);
    expect((await rig.sendRequest({}, {method: 'POST'})).status).toBe(200);
    expect(received()).toHaveLength(1);
  });
});

describe('an idempotent request', () => {
  test('is retried after an error response', async () => {
    const fail: EndpointScript = (response, {request}) => {
      response.writeHead(500, createSignedHeaders(request)).end('bad');
    };
    const {received} = await startRouter(rig, inSequence(fail, respondOk));
    expect(await rig.sendRequest()).toMatchObject({status: 200, body: 'well'});
    expect(received()).toHaveLength(2);
  });

  test('gets the error response of the endpoint when no attempt is left', async () => {
    const fail: EndpointScript = (response, {request}) => {
      response.writeHead(500, createSignedHeaders(request)).end('bad');
    };
    const {received} = await startRouter(rig, fail);
    expect(await rig.sendRequest()).toMatchObject({status: 500, body: 'bad'});
    expect(received()).toHaveLength(2);
  });

  test('is retried when the response belongs to another request', async () => {
    const wrong: EndpointScript = (response) => {
      response.writeHead(200, {'x-id': 'other', 'x-signed': 'yes'}).end('wrong');
    };
    await startRouter(rig, inSequence(wrong, respondOk));
    expect(await rig.sendRequest()).toMatchObject({status: 200, body: 'well'});
  });

  test('is retried when the response is cut off', async () => {
    const truncate: EndpointScript = (response, {request}) => {
      response.writeHead(200, {...createSignedHeaders(request), 'content-length': '10'});
      response.write('half');
      setImmediate(() => response.destroy());
    };
    await startRouter(rig, inSequence(truncate, respondOk));
    expect(await rig.sendRequest()).toMatchObject({status: 200, body: 'well', isComplete: true});
  });

  test('is not answered with an unsigned success', async () => {
    const unsigned: EndpointScript = (response) => {
      response.writeHead(200).end('whose');
    };
    await startRouter(rig, unsigned);
    expect((await rig.sendRequest()).status).toBe(502);
  });
});

describe('a stream', () => {
  const route = {kind: 'stream', isResumable: true, pauseTargetMs: 100} as const;

  const streamAndDisconnect: EndpointScript = (response, {request}) => {
    response.writeHead(200, {...createSignedHeaders(request), 'content-type': 'text/event-stream'});
    response.write(`${events(1, 3)}id: 4\nda`);
    setImmediate(() => response.destroy());
  };

  test('that is cut off is resumed at another endpoint, with each event once', async () => {
    const resume: EndpointScript = (response, {request}) => {
      const from = Number(request.headers['last-event-id']) + 1;
      response.writeHead(200, {
        ...createSignedHeaders(request),
        'content-type': 'text/event-stream',
      });
      response.end(events(from, 6));
    };
    const {received} = await startRouter(rig, inSequence(streamAndDisconnect, resume), route);
    const result = await rig.sendRequest();
    expect(result).toMatchObject({status: 200, isComplete: true, body: events(1, 6)});
    expect(received().map(({request}) => request.headers['last-event-id'])).toContain('3');
  });

  test('drops events that the client has already received', async () => {
    const repeat: EndpointScript = (response, {request}) => {
      response.writeHead(200, {
        ...createSignedHeaders(request),
        'content-type': 'text/event-stream',
      });
      response.end(events(2, 6));
    };
    await startRouter(rig, inSequence(streamAndDisconnect, repeat), route);
    expect((await rig.sendRequest()).body).toBe(events(1, 6));
  });

  test('that cannot be resumed ends as incomplete', async () => {
    const {received} = await startRouter(rig, streamAndDisconnect, {...route, isResumable: false});
    const result = await rig.sendRequest();
    expect(result.isComplete).toBe(false);
    expect(received()).toHaveLength(1);
  });
});

describe('metrics', () => {
  test('count requests by outcome and reason, and the time to the first byte', async () => {
    await startRouter(rig, respondOk, {prefix: '/x/'});
    await rig.sendRequest({}, {path: '/x/'});
    await rig.sendRequest({}, {path: '/y/'});
    const text = await rig.process.metrics();
    expect(text).toContain('requests_total{route="route",outcome="delivered",reason=""} 1');
    expect(text).toContain('requests_total{route="",outcome="refused",reason="no_route"} 1');
    expect(text).toContain('first_byte_seconds_count{route="route"} 1');
    expect(text).toContain('sends_total{service="app",outcome="delivered"} 1');
    expect(text).toMatch(/configuration_age_seconds \d/);
  });
});

describe('a client that disconnects', () => {
  test('closes the connection to the endpoint', async () => {
    let isClosed = false;
    const neverRespond: EndpointScript = (response) => {
      response.on('close', () => (isClosed = true));
    };
    const {received} = await startRouter(rig, neverRespond);
    const controller = new AbortController();
    const result = rig.sendRequest({}, {signal: controller.signal});
    await waitUntil(() => received().length === 1);
    controller.abort();
    await expect(result).rejects.toThrow();
    await waitUntil(() => isClosed);
    expect(received()).toHaveLength(1);
  });
});

describe('time limits', () => {
  test('of a request shrink by the time that it has taken', async () => {
    let release: (() => void) | undefined;
    const failLater: EndpointScript = async (response, {request}) => {
      await new Promise<void>((resolve) => (release = resolve));
      response.writeHead(500, createSignedHeaders(request)).end();
    };
    const {received} = await startRouter(rig, inSequence(failLater, respondOk));
    const result = rig.sendRequest({'x-deadline': '2000'});
    await waitUntil(() => release !== undefined);
    await rig.advance(700);
    release?.();
    expect((await result).status).toBe(200);
    const left = received().map(({request}) => Number(request.headers['x-left']));
    expect(left.toSorted((a, b) => a - b)).toEqual([1300, 2000]);
  });

  test('of a route end a request that gets no response', async () => {
    const {received} = await startRouter(rig, () => undefined, {timeoutMs: 1000});
    const result = rig.sendRequest();
    await waitUntil(() => received().length === 1);
    await rig.advance(1200);
    expect((await result).status).toBe(504);
  });
});
