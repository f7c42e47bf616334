/** Validates the example settings and tickets with the schemas that the processes use. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {agentSettingsSchema} from '@marigoldfold/agent';
import {entrySettingsSchema, forwardSettingsSchema} from '@marigoldfold/entry';
import {parseSettings} from '@marigoldfold/runtime';
import {Configuration, type Draft, draftSchema, maxTicketBytes} from '@marigoldfold/state';
import {format, resolveConfig} from 'prettier';
import {describe, expect, it} from 'vitest';
import {formatSettingsReference} from '../settingsReference.js';

const examples = join(import.meta.dirname, '../../../../examples');

function read(...path: readonly string[]): string {
  return readFileSync(join(examples, ...path), 'utf8');
}

function readDrafts(site: string): readonly Draft[] {
  const files = readdirSync(join(examples, site, 'tickets')).sort();
  return files.map((file) =>
    parseSettings(draftSchema, read(site, 'tickets', file))._unsafeUnwrap(),
  );
}

describe('the example of a forwarding router', () => {
  it('has valid settings', () => {
    const settings = parseSettings(forwardSettingsSchema, read('brescia', 'forward.toml'));
    expect(settings._unsafeUnwrap().bounds.revocationMs).toBe(5000);
  });
});

describe.each([
  ['brescia', 'order-desk'],
  ['authority', 'ledger'],
])('the example of %s', (site, service) => {
  it('has valid settings for each role', () => {
    const entry = parseSettings(entrySettingsSchema, read(site, 'entry.toml'));
    expect(entry._unsafeUnwrap().operators).toHaveLength(2);
    for (const role of ['engine', service]) {
      const agent = parseSettings(agentSettingsSchema, read(site, `agent-${role}.toml`));
      const type = role === 'engine' ? 'engine' : 'service';
      expect(agent._unsafeUnwrap().endpoint.type).toBe(type);
    }
  });

  it('has tickets that configure 8 engines, 3 service endpoints and 10 accounts', () => {
    let configuration = Configuration.empty;
    for (const [index, draft] of readDrafts(site).entries()) {
      expect(Buffer.byteLength(JSON.stringify(draft))).toBeLessThan(maxTicketBytes);
      configuration = configuration.apply(draft.changes, index + 1);
    }
    const endpoints = [...configuration.all('endpoint').values()];
    const types = endpoints.map(({set}) => configuration.get('endpointSet', set)?.type);
    expect(types.filter((type) => type === 'engine')).toHaveLength(8);
    expect(types.filter((type) => type === 'service')).toHaveLength(3);
    expect(configuration.all('account').size).toBe(10);
    for (const {classes, defaultClass} of configuration.all('account').values()) {
      expect(classes).toContain(defaultClass);
      for (const name of classes) expect(configuration.get('class', name)).toBeDefined();
    }
    let guaranteed = 0;
    for (const {endpointSets, guaranteedShare} of configuration.all('class').values()) {
      guaranteed += guaranteedShare;
      for (const name of endpointSets) {
        expect(configuration.get('endpointSet', name)).toBeDefined();
      }
    }
    expect(guaranteed).toBeLessThan(0.5);
  });
});

describe('invalid settings', () => {
  it('are rejected with a list of all problems: the key, its value and the allowed values', () => {
    const text = `
listen = '10.0.0.5:99999'
operatorsListen = 7
colour = 'green'
[process]
name = ''
region = 'lombardy'
[[operators]]
name = 'x'
keySha256 = 'a bearer key by mistake'
[platform]
keyValue = '10.0.0.6:2379'
instances = '10.0.0.7:8500'
keyValueTimeoutMs = 1
[secrets]
clusterKey = 'the cluster key by mistake'
`;
    const problems = parseSettings(entrySettingsSchema, text)._unsafeUnwrapErr();
    const hidden = 'a value that is not shown';
    expect(Object.fromEntries(problems.map(({key, ...rest}) => [key, rest]))).toEqual({
      listen: {value: '"10.0.0.5:99999"', message: 'a port of at most 65535'},
      operatorsListen: {value: '7', message: 'Invalid input: expected string, received number'},
      colour: {value: '"green"', message: 'unknown key'},
      'process.name': {
        value: '""',
        message: 'Too small: expected string to have >=1 characters',
      },
      'process.failureDomain': {
        value: 'nothing',
        message: 'Invalid input: expected string, received undefined',
      },
      'operators.0.keySha256': {
        value: hidden,
        message: 'a SHA-256 digest in lower-case hexadecimal',
      },
      'platform.keyValueTimeoutMs': {
        value: '1',
        message: 'Too small: expected number to be >=10',
      },
      'secrets.clusterKey': {value: hidden, message: 'unknown key'},
    });
  });
});

describe('the settings reference', () => {
  it('matches the schemas', async () => {
    const file = join(examples, '../docs/operators/settings.md');
    const options = await resolveConfig(file);
    const current = await format(formatSettingsReference(), {...options, parser: 'markdown'});
    expect(readFileSync(file, 'utf8')).toBe(current);
  });
});
