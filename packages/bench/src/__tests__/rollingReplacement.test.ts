import {setTimeout as wait} from 'node:timers/promises';
import {createHttpClient} from '@marigoldfold/transport';
import {expect, it} from 'vitest';
import {
  type CallerTarget,
  requestCompletion,
  postLedgerEntry,
  type CallerResult,
} from '../soak/caller.js';
import {Fleet} from '../soak/fleet.js';

const CALLERS = 12;
const LONG_ANSWER_TOKENS = 120;

it('replacing every entry and agent under load interrupts no request and repeats no call', async () => {
  using fleet = await Fleet.start({
    entries: 2,
    engines: 2,
    ledgers: 2,
    slots: 8,
    interTokenMs: 5,
  });
  using client = createHttpClient();
  let isLoading = true;
  const results: CallerResult[] = [];
  let sequence = 0;

  const target = (): CallerTarget => {
    // The test acts as a load balancer: it sends requests only to entries that report ready.
    const entry = fleet.entries[sequence % fleet.entries.length];
    if (entry === undefined) throw new Error('no entry is ready');
    return {client, address: entry.process.callers.address, clientKey: fleet.clientKey};
  };
  const call = async (caller: number) => {
    while (isLoading) {
      sequence += 1;
      const name = `request ${sequence}`;
      if (caller % 3 === 0) results.push(await postLedgerEntry(target(), name, name));
      else
        results.push(await requestCompletion(target(), name, LONG_ANSWER_TOKENS, caller % 2 === 0));
    }
  };
  const callers = Array.from({length: CALLERS}, (_, caller) => call(caller));

  const entries = [...fleet.entries];
  const agents = [...fleet.agents];
  for (const entry of entries) {
    await fleet.startEntry();
    await fleet.drainEntry(entry);
  }
  for (const agent of agents) {
    await fleet.startAgent(agent.endpoint);
    await wait(300);
    await fleet.drainAgent(agent);
  }
  isLoading = false;
  await Promise.all(callers);

  expect(results.filter(({kind}) => kind !== 'whole')).toEqual([]);
  expect(results.length).toBeGreaterThan(CALLERS * 4);
  const postings = fleet.allLedgers.flatMap(({implementation}) => implementation.postings);
  const accounts = new Set(postings.map(({account}) => account));
  expect(accounts.size).toBe(postings.length);
}, 60_000);
