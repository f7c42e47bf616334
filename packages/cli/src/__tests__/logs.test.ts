/** Log output of the processes: one JSON object per line, decisions by name, no secrets. */
import {createLogger} from '@marigoldfold/runtime';
import {expect, it} from 'vitest';
import {startLocalSystem} from '../localSystem.js';

it('logs decisions as JSON lines that contain no secrets', async () => {
  const lines: string[] = [];
  const logger = createLogger({
    process: 'test',
    level: 'debug',
    write: (line) => {
      lines.push(line);
    },
  });
  const started = await startLocalSystem({port: 0, operatorsPort: 0, logger, interTokenMs: 2});
  const system = started._unsafeUnwrap();
  const {keys} = system;
  const url = `http://${system.entry.callers.address}`;
  const send = (authorization: string, body: string) =>
    fetch(`${url}/v1/chat/completions`, {method: 'POST', body, headers: {authorization}});
  const body = '{"model":"score-reader","messages":[{"role":"user","content":"x"}]}';
  expect((await send(`Bearer ${keys.client}`, body)).status).toBe(200);
  expect((await send(`Bearer ${keys.client}`, '{')).status).toBe(400);
  expect((await send(`Bearer ${keys.operator}`, body)).status).toBe(401);
  const operators = `http://${system.entry.operators.address}`;
  await fetch(`${operators}/status`, {headers: {authorization: `Bearer ${keys.operator}`}});
  const metrics = await (await fetch(`${operators}/metrics`)).text();
  for (const name of [
    'marigoldfold_requests_total{class="standard",outcome="attained"} 1',
    'marigoldfold_refusals_total{code="bad_request",ran="no"} 1',
    'marigoldfold_requests_in_flight 0',
    'marigoldfold_connections{server="operators"}',
    'marigoldfold_configuration_number 3',
    'marigoldfold_configuration_confirmation_age_seconds',
  ]) {
    expect(metrics).toContain(name);
  }
  await system.drain();

  const records = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  const refusal = records.find(({code}) => code === 'bad_request');
  expect(refusal).toMatchObject({
    level: 'info',
    process: 'test',
    decision: 'refusal',
    class: 'standard',
    account: 'demo',
    ran: 'no',
    configuration: 3,
  });
  const configurationRecords = records.filter(({decision}) => decision === 'configuration');
  expect(new Set(configurationRecords.map(({ticket}) => ticket))).toEqual(new Set([1, 2, 3]));
  const secrets = [keys.client, keys.operator, keys.cluster];
  const pem = keys.monitor.privateKeyPem.split('\n')[1] ?? '';
  for (const secret of [...secrets, pem]) {
    expect(secret.length).toBeGreaterThan(20);
    expect(lines.filter((line) => line.includes(secret))).toEqual([]);
  }
});
