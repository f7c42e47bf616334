import {
  type AccountGrantRequest,
  type Instance,
  type Load,
  accountGrantMethod,
  compactLoad,
  encodeLoad,
  probeMethod,
} from '@marigoldfold/protocol';
import {type Random, seededRandom, VirtualClock} from '@marigoldfold/runtime';
import {Configuration, objectSchemas} from '@marigoldfold/state';
import {describe, expect, it} from 'vitest';
import {load} from '../__fixtures__/fleet.js';
import {createLimitedAccount} from '../__fixtures__/region.js';
import {AccountHome} from '../accountHome.js';
import {AccountLimits} from '../accountLimits.js';
import {EndpointSelector} from '../endpointSelector.js';
import {EntryDirectory} from '../entryDirectory.js';

/** Design size from the requirements: one of 380 entries of a region. */
const SIZE = {
  models: 10,
  subset: 16,
  slots: 33,
  entries: 380,
  accounts: 18_000,
  requestsPerSecond: 10.5,
  seconds: 120,
} as const;
const BUDGET_BYTES_PER_SECOND = 7000;
/** Design estimates, in bytes per second, for ticket gossip with anti-entropy and for keep-alive messages. */
const OTHER_BYTES_PER_SECOND = 800 + 900;
/** Bytes of TCP/IP headers and of WebSocket frame headers in one request and response. */
const EXCHANGE_OVERHEAD_BYTES = 160 + 12;

/** Counts the messages and bytes that JSON-RPC would send. */
class CountingLink {
  messages = 0;
  bytes = 0;

  record(method: string, params: unknown, result: unknown): void {
    this.messages += 1;
    const id = this.messages;
    const request = JSON.stringify({jsonrpc: '2.0', id, method, params});
    const response = JSON.stringify({jsonrpc: '2.0', id, result});
    this.bytes += request.length + response.length + EXCHANGE_OVERHEAD_BYTES;
  }
}

const incarnation = 'mg3k1x2y-0123456789ab';

function busyLoad(random: Random): Load {
  const running = Array.from({length: 7}, () => Math.floor(random() * 9));
  const queued = Array.from({length: 7}, (_, tier) => (tier > 3 ? Math.floor(random() * 3) : 0));
  const waitMs = queued.map((count, tier) => count * 317.4321 * tier);
  const measured = {window: SIZE.slots, interTokenMs: 23.456789, firstTokenMs: 412.345678};
  return load({incarnation, configuration: 11_000, running, queued, waitMs, ...measured});
}

function instanceOf(role: 'agent' | 'entry', name: string, endpoint?: string): Instance {
  const common = {address: `${name}:1`, failureDomain: 'd', region: 'r', state: 'live'} as const;
  return {name, role, ...common, ...(endpoint === undefined ? {} : {endpoint})};
}

function createEndpointSelector(clock: VirtualClock, random: Random, link: CountingLink) {
  const endpointSelector = new EndpointSelector({
    clock,
    random,
    self: 'entry-1',
    probe: () => {
      const report = compactLoad(busyLoad(random));
      link.record(probeMethod.name, {}, probeMethod.encode(report));
      return Promise.resolve(report);
    },
  });
  const changes = [];
  const instances: Instance[] = [];
  for (let model = 0; model < SIZE.models; model += 1) {
    const set = `set-${model}`;
    const state = {type: 'engine', models: [`model-${model}`], slots: SIZE.slots};
    changes.push({kind: 'endpointSet' as const, name: set, state});
    for (let index = 0; index < SIZE.subset; index += 1) {
      const name = `${set}-${index}`;
      changes.push({kind: 'endpoint' as const, name, state: {set}});
      instances.push(instanceOf('agent', name, name));
    }
  }
  endpointSelector.update(Configuration.empty.apply(changes, 1), instances);
  return endpointSelector;
}

function createLimits(
  clock: VirtualClock,
  link: CountingLink,
  accountOf: (name: string) => ReturnType<typeof createLimitedAccount>,
) {
  const entries = Array.from({length: SIZE.entries}, (_, index) =>
    instanceOf('entry', `entry-${index + 1}`),
  );
  const directory = new EntryDirectory(clock, 'entry-1', 'r');
  directory.update(entries);
  const options = {clock, directory, accountOf};
  const home = new AccountHome(options);
  // One home stands in for all others, since grants do not depend on which home responds.
  const otherHomes = new AccountHome({
    ...options,
    directory: {size: SIZE.entries, changedAtMs: clock.now() - 600_000, homeOf: () => undefined},
  });
  const call = (_: Instance, requests: readonly AccountGrantRequest[]) => {
    const grants = requests.map((request) => otherHomes.grant('entry-1', request) ?? null);
    link.record(accountGrantMethod.name, {entry: 'entry-1', asks: requests}, {grants});
    return Promise.resolve(grants);
  };
  return new AccountLimits({...options, home, call});
}

describe('the control traffic of an entry at the design size', () => {
  it('fits into 7 KB a second together with all other traffic', async () => {
    const clock = new VirtualClock();
    const random = seededRandom(21);
    const probes = new CountingLink();
    const grants = new CountingLink();
    const endpointSelector = createEndpointSelector(clock, random, probes);
    // Traffic of account k is proportional to 1/k; its limit is four times its mean.
    const harmonic = Math.log(SIZE.accounts + 1);
    const accounts = Array.from({length: SIZE.accounts}, (_, index) => {
      const mean = (SIZE.requestsPerSecond * SIZE.entries) / harmonic / (index + 1);
      return createLimitedAccount({
        requestsPerSecond: mean * 4,
        burst: Math.max(4, mean * 8),
        concurrency: Math.max(4, Math.ceil(mean * 50)),
      });
    });
    const indexOf = (name: string) => Number(name.slice('account-'.length));
    const limits = createLimits(clock, grants, (name) => accounts[indexOf(name)]!);
    const requestClass = objectSchemas.class.parse({
      tier: 2,
      firstTokenMs: 1800,
      endpointSets: Array.from({length: SIZE.models}, (_, model) => `set-${model}`),
    });
    let refused = 0;
    let reportBytes = 0;
    const total = SIZE.requestsPerSecond * SIZE.seconds;
    for (let request = 0; request < total; request += 1) {
      const index = Math.floor((SIZE.accounts + 1) ** random()) - 1;
      const model = `model-${Math.floor(random() * SIZE.models)}`;
      void limits.admit(`account-${index}`, accounts[index]!, 2).then(async (admitted) => {
        if (admitted.isErr()) {
          refused += 1;
          return;
        }
        const target = {kind: 'model', model} as const;
        const chosen = await endpointSelector.chooseWithProbes({
          requestClass,
          tier: 2,
          target,
          excluded: new Set(),
        });
        if (chosen.isErr()) {
          refused += 1;
          return;
        }
        const {name} = chosen.value.instance;
        const sent = endpointSelector.trackRequest(chosen.value, 2);
        clock.schedule(12_000 * random(), () => {
          sent[Symbol.dispose]();
          admitted.value[Symbol.dispose]();
          const report = compactLoad(busyLoad(random));
          reportBytes += JSON.stringify(encodeLoad(report)).length;
          endpointSelector.observe(name, report);
        });
      });
      await clock.advance(-Math.log(1 - random()) * (1000 / SIZE.requestsPerSecond));
    }
    const seconds = clock.now() / 1000;
    const probeBytes = probes.bytes / seconds;
    // Counted twice: an entry serves as many grant requests as it sends.
    const grantBytes = (2 * grants.bytes) / seconds;
    if (process.env.CONTROL_COST === 'print')
      process.stdout.write(
        `${JSON.stringify({probesPerRequest: probes.messages / total, probeBytes, asksPerRequest: grants.messages / total, grantBytes, reportBytes: reportBytes / seconds, refused, total})}\n`,
      );
    expect(refused / total).toBeLessThan(0.01);
    expect(probeBytes + grantBytes + reportBytes / seconds).toBeLessThan(
      BUDGET_BYTES_PER_SECOND - OTHER_BYTES_PER_SECOND,
    );
  });
});
