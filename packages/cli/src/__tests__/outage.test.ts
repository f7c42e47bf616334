import {setTimeout as wait} from 'node:timers/promises';
import {silentLogger} from '@marigoldfold/runtime';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {type LocalSystem, startLocalSystem} from '../localSystem.js';
import {createOperatorClient, type OperatorClient} from '../operatorClient.js';

let system: LocalSystem;
let client: OperatorClient;

beforeAll(async () => {
  const started = await startLocalSystem({port: 0, operatorsPort: 0, logger: silentLogger});
  system = started._unsafeUnwrap();
  const {operators} = system.entry;
  client = createOperatorClient({address: operators.address, operatorKey: system.keys.operator});
});

afterAll(async () => {
  client[Symbol.dispose]();
  await system.drain();
});

function changeSlots(slots: number) {
  const state = {type: 'engine', models: ['score-reader'], slots};
  const changes = [{kind: 'endpointSet' as const, name: 'engines', state}];
  return {reason: `slots ${slots}`, changes};
}

async function waitUntilCurrent() {
  while (true) {
    const status = (await client.status())._unsafeUnwrap();
    const isCurrent = status.instances.every(({staleness}) => staleness === 'current');
    // The entry polls the instance list every 200 ms, so the list is incomplete at first and does not yet contain the
    // entry.
    if (status.instances.length === 4 && isCurrent) return status;
    await wait(50);
  }
}

describe('the local system', () => {
  it('applies a ticket at every instance with the same state digest, and reports when each instance applied it', async () => {
    (await system.applyDraft(changeSlots(8)))._unsafeUnwrap();
    const status = await waitUntilCurrent();
    expect(status.instances).toHaveLength(4);
    expect(new Set(status.instances.map(({stateDigest}) => stateDigest)).size).toBe(1);
    const shown = (await client.status(status.number))._unsafeUnwrap();
    for (const {inForceAtMs} of shown.instances) expect(inForceAtMs).toBeGreaterThan(0);
  });

  it('serves requests while the key-value service is down, and refuses proposals with code store', async () => {
    await waitUntilCurrent();
    const {number} = system.entry.feed.head;
    system.keyValue.faults.isDown = true;
    const proposal = {id: 'in-the-outage', draft: changeSlots(12)};
    const refused = (await client.propose(proposal))._unsafeUnwrapErr();
    expect(refused).toMatchObject({code: 'store'});
    const answer = await fetch(`http://${system.entry.callers.address}/v1/chat/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${system.keys.client}`},
      body: JSON.stringify({
        model: 'score-reader',
        max_tokens: 2,
        messages: [{role: 'user', content: 'Bar 12: slur or tie?'}],
      }),
    });
    expect(answer.status).toBe(200);
    expect(system.entry.feed.head.number).toBe(number);
    system.keyValue.faults.isDown = false;
    (await system.applyDraft(changeSlots(12)))._unsafeUnwrap();
    expect((await waitUntilCurrent()).number).toBe(number + 1);
  });
});
