import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {startRouter} from '../__fixtures__/endpointScripts.js';
import {createSignedHeaders, type EndpointScript, ForwardRig} from '../__fixtures__/forwardRig.js';

let rig: ForwardRig;

beforeEach(() => {
  rig = new ForwardRig();
});

afterEach(() => rig.stop());

describe('a response without a body', () => {
  const respond =
    (status: number, headers: Readonly<Record<string, string>>): EndpointScript =>
    (response, {request}) => {
      response.writeHead(status, {...createSignedHeaders(request), ...headers}).end();
    };

  // Guards against a length of 0 that the endpoint has not stated: a client takes it for that of the resource.
  test.each([
    ['HEAD', 200],
    ['GET', 304],
  ])('to %s with the status %i has the length that the endpoint states', async (method, status) => {
    await startRouter(rig, respond(status, {'content-length': '1234'}));
    const {headers, ...result} = await rig.sendRequest({}, {method});
    expect(result).toMatchObject({status, body: ''});
    expect(headers['content-length']).toBe('1234');
  });

  test.each([
    ['HEAD', 200],
    ['GET', 204],
  ])('to %s with the status %i has no length of its own', async (method, status) => {
    await startRouter(rig, respond(status, {}));
    const {headers, ...result} = await rig.sendRequest({}, {method});
    expect(result).toMatchObject({status, body: ''});
    expect(headers['content-length']).toBeUndefined();
  });
});
