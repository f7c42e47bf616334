import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, test} from 'vitest';
import {createRoutingConfiguration} from '../__fixtures__/forwardRig.js';
import {readForwardSettings} from '../forwardCommand.js';
import {forwardKeys, standaloneCodec, standaloneSource} from '../standaloneDefaults.js';

describe('the documents of a standalone router', () => {
  test('are decoded to the values that were encoded', () => {
    const configuration = createRoutingConfiguration();
    const read = standaloneSource
      .decodeConfiguration(JSON.stringify(configuration))
      ._unsafeUnwrap();
    expect(read).toEqual(configuration);
  });

  test('are rejected with an error that lists each problem of a configuration', () => {
    const broken = {...createRoutingConfiguration(), version: 0, limits: {}};
    const problem = standaloneSource.decodeConfiguration(JSON.stringify(broken))._unsafeUnwrapErr();
    expect(problem).toContain('version');
    expect(problem).toContain('limits.maxBodyBytes');
    expect(standaloneSource.decodeConfiguration('{')._unsafeUnwrapErr()).toBe(
      'the document is not JSON',
    );
  });

  test('take the id of an endpoint from its key', () => {
    const key = `${forwardKeys.endpoints}e7`;
    const text = JSON.stringify({service: 'app', address: '10.0.0.1:80', slots: 4});
    expect(standaloneSource.decodeEndpoint(key, text)._unsafeUnwrap()).toMatchObject({
      id: 'e7',
      isLeaving: false,
    });
    expect(standaloneSource.decodeEndpoint(key, '{"slots": 4}').isErr()).toBe(true);
  });
});

describe('the headers of a standalone router', () => {
  test('carry the prompt size, and replace those that only the router may set', () => {
    const metadata = standaloneCodec.decodeRequest({
      'x-request-id': 'r1',
      'x-prompt-tokens': '700,50',
      'x-prompt-parts': 'a:200,b:500',
    });
    expect(metadata.prompt).toEqual({
      promptTokens: 700,
      maxOutputTokens: 50,
      parts: [
        {id: 'a', tokens: 200},
        {id: 'b', tokens: 500},
      ],
    });
    const headers = standaloneCodec.encodeRequest(
      ['X-Account', 'forged', 'X-Api-Key', 'k', 'a', 'b'],
      {
        deadlineMs: 100,
        endpointId: 'e1',
        accountName: 'office',
        rank: 1,
        lastEventId: undefined,
      },
    );
    expect(headers.join(' ')).toBe(
      'a b x-deadline-ms 100 x-endpoint-id e1 x-rank 1 x-account office',
    );
  });
});

describe('the settings of a router', () => {
  test('are rejected with every problem named', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'forward-')), 'forward.toml');
    writeFileSync(file, 'name = "a"\nlisten = "nowhere"\nbounds = {stopMs = 1}\n');
    const problems = readForwardSettings(file)._unsafeUnwrapErr();
    for (const key of ['listen', 'readyListen', 'bounds.stopMs']) expect(problems).toContain(key);
    expect(readForwardSettings('/nowhere')._unsafeUnwrapErr()).toContain('cannot be read');
  });
});
