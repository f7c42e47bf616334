/** Runs a router on a virtual clock, with real sockets to clients and to scripted endpoints. */
import {
  type Agent,
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
  request as httpRequest,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  type LogFields,
  seededRandom,
  flushPromises,
  silentLogger,
  VirtualClock,
} from '@marigoldfold/runtime';
import {SwitchableKeyValue, MemoryKeyValue} from '@marigoldfold/standin';
import type {EndpointRecord, Route, RoutingConfiguration} from '@marigoldfold/state';
import {err, ok} from 'neverthrow';
import type {MetadataCodec} from '../metadataCodec.js';
import {ForwardProcess} from '../forwardProcess.js';
import type {ForwardDutyOptions} from '../forwardDuties.js';
import type {ProcessLimits} from '../forwardMemory.js';
import type {ForwardBounds} from '../forwardSource.js';
import {testCodec} from './testCodec.js';

/** Creates a route with typical values, some of which a test may override. */
export function createRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: 'a.example',
    prefix: '/',
    kind: 'idempotent',
    timeoutMs: 5000,
    targetMs: 500,
    pauseTargetMs: undefined,
    priority: 1,
    shares: [{service: 'app', weight: 1}],
    maxAttempts: 2,
    allowsAnonymous: false,
    hasPromptParts: false,
    isResumable: false,
    ...overrides,
  };
}

/** Creates a configuration with one route, one service and one account whose key is `key-1`. */
export function createRoutingConfiguration(
  overrides: Partial<RoutingConfiguration> = {},
): RoutingConfiguration {
  return {
    version: 1,
    routes: [createRoute()],
    services: [{name: 'app', healthPath: '/', connectionLimit: 100, engine: undefined}],
    accounts: [{name: 'account-1', keys: ['key-1'], priority: undefined}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1024,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...overrides,
  };
}

/** A request as a scripted endpoint received it. */
export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly body: string;
}

/** A scripted endpoint and the requests that it received. */
export interface TestEndpoint {
  readonly id: string;
  readonly received: ReceivedRequest[];
}

/** Responds to one request at an endpoint. */
export type EndpointScript = (
  response: ServerResponse,
  received: ReceivedRequest,
) => Promise<void> | void;

/** A response as a client received it. */
export interface ClientResult {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the response ended as its framing declares. */
  readonly isComplete: boolean;
}

/** Returns the metadata headers that make a response to the request valid. */
export function createSignedHeaders(request: IncomingMessage): Record<string, string> {
  return {'x-id': String(request.headers['x-id']), 'x-signed': 'yes'};
}

const bounds: ForwardBounds = {
  revocationMs: 5000,
  configurationMs: 2000,
  stopMs: 8000,
  retryBudget: {ratio: 10, windowMs: 10_000, slack: 50},
};

/** What distinguishes a router of a fleet from the only one. */
export interface RigOptions {
  /** Name of the instance. */
  readonly name?: string;
  /** `host:port` for reports from other instances; the port has to be free. */
  readonly peerAddress?: string;
  readonly processLimits?: ProcessLimits;
  readonly duties?: ForwardDutyOptions;
  /** Whether endpoints that have started or recovered get a pace; they do by default. */
  readonly pacesEndpoints?: boolean;
  readonly codec?: MetadataCodec;
  /** Rig whose clock and store this one shares. */
  readonly sharedWith?: ForwardRig;
}

/** A router under test with an in-memory store and scripted endpoints. */
export class ForwardRig {
  readonly clock: VirtualClock;
  readonly store: MemoryKeyValue;
  readonly switchableStore: SwitchableKeyValue;
  /** Called with each log message. */
  onLog: ((message: string) => void) | undefined;
  readonly logEntries: (LogFields & {readonly message: string})[] = [];
  /** Servers of the endpoints by id. */
  readonly #servers = new Map<string, Server>();
  readonly #addresses = new Map<string, AddressInfo>();
  /** Client port of the router; stored, since a closed server no longer reports its port. */
  #port = 0;
  readonly process: ForwardProcess;
  /** Time that the machine was suspended, which only the wall clock counts. */
  suspendedMs = 0;

  constructor({
    name = 'front-1',
    peerAddress = '127.0.0.1:0',
    // The smallest budget, 16 MiB.
    processLimits = {memoryBytes: 100_000_000, maxDescriptors: 4096},
    duties,
    pacesEndpoints = true,
    codec = testCodec,
    sharedWith,
  }: RigOptions = {}) {
    this.clock = sharedWith?.clock ?? new VirtualClock(1000);
    this.store = sharedWith?.store ?? new MemoryKeyValue(this.clock);
    this.switchableStore = new SwitchableKeyValue(this.store, this.clock);
    const log = (message: string, fields?: LogFields) => {
      this.logEntries.push({message, ...fields});
      this.onLog?.(message);
    };
    this.process = new ForwardProcess({
      clock: this.clock,
      wallTimeMs: () => this.clock.now() + this.suspendedMs,
      random: seededRandom(Number(/\d+$/.exec(name)?.[0] ?? 1)),
      logger: {...silentLogger, debug: log, info: log, warn: log, error: log},
      codec,
      source: {
        store: this.switchableStore,
        prefix: '',
        configurationKey: 'configuration',
        endpointsPrefix: 'endpoints/',
        peersPrefix: 'peers/',
        quarantinePrefix: 'quarantine/',
        decodeConfiguration: (value) =>
          value === '' ? err('not JSON') : ok(JSON.parse(value) as RoutingConfiguration),
        decodeEndpoint: (_key, value) =>
          value === 'garbage' ? err('not JSON') : ok(JSON.parse(value) as EndpointRecord),
        endpointIdOf: (key) => key.slice('endpoints/'.length),
      },
      name,
      peerAddress,
      clientAddress: '127.0.0.1:0',
      readyAddress: '127.0.0.1:0',
      metricsAddress: '127.0.0.1:0',
      readyPath: '/ready',
      metricsPath: '/metrics',
      bounds,
      processLimits,
      pacesEndpoints,
      ...(duties === undefined ? {} : {duties}),
    });
  }

  /** Stores a configuration unless it is `none`, and starts the router. */
  async start(
    configuration: RoutingConfiguration | 'none' = createRoutingConfiguration(),
  ): Promise<void> {
    if (configuration !== 'none') await this.configure(configuration);
    await this.process.start();
    this.#port = this.process.clientPort;
    await this.syncStore();
  }

  /** Advances the clock until the router has applied the contents of the store. */
  async syncStore(): Promise<void> {
    await this.clock.advance(700);
  }

  async configure(configuration: RoutingConfiguration): Promise<void> {
    await this.put('configuration', JSON.stringify(configuration));
  }

  /** Writes a key to the store, replacing any earlier value. */
  async put(key: string, value: string): Promise<void> {
    const current = (await this.store.get(key))._unsafeUnwrap();
    await this.store.write(key, value, {ifRevision: current?.revision ?? 0});
  }

  async remove(key: string): Promise<void> {
    const current = (await this.store.get(key))._unsafeUnwrap();
    await this.store.remove(key, current?.revision ?? 0);
  }

  /** Starts an endpoint and registers it. */
  async addEndpoint(
    id: string,
    script: EndpointScript,
    record: Partial<EndpointRecord> = {},
  ): Promise<TestEndpoint> {
    const received: ReceivedRequest[] = [];
    const server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const entry = {request, body: Buffer.concat(chunks).toString()};
        received.push(entry);
        void script(response, entry);
      });
    });
    server.maxHeadersCount = 0;
    this.#servers.set(id, server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const bound = server.address() as AddressInfo;
    this.#addresses.set(id, bound);
    await this.register({id, address: `127.0.0.1:${bound.port}`, ...record});
    return {id, received};
  }

  /** Ends an endpoint: its connections are closed, and none is accepted any more. */
  crash(id: string): void {
    const server = this.#servers.get(id);
    server?.close();
    server?.closeAllConnections();
  }

  /** Lets an endpoint accept no further connections; those that are open stay so. */
  stopListening(id: string): void {
    this.#servers.get(id)?.close();
  }

  /** Lets an endpoint accept connections again at the address that it had. */
  async listenAgain(id: string): Promise<void> {
    const address = this.#addresses.get(id);
    const server = this.#servers.get(id);
    if (server === undefined || address === undefined) throw new Error(`no endpoint ${id}`);
    await new Promise<void>((resolve) => {
      server.listen(address.port, address.address, resolve);
    });
  }

  async register(record: Partial<EndpointRecord> & {readonly id: string}): Promise<void> {
    const fullRecord: EndpointRecord = {
      service: 'app',
      address: '127.0.0.1:1',
      failureDomain: 'a',
      slots: 8,
      isLeaving: false,
      startedAtMs: 1,
      ...record,
    };
    await this.put(`endpoints/${record.id}`, JSON.stringify(fullRecord));
  }

  /** Sends a client request; resolves at the end of its response. A header that is undefined is left out. */
  sendRequest(
    headers: Readonly<Record<string, string | undefined>> = {},
    options: {
      method?: string;
      path?: string;
      body?: string;
      signal?: AbortSignal;
      agent?: Agent;
    } = {},
  ): Promise<ClientResult> {
    const {method = 'GET', path = '/x', body, signal, agent = false} = options;
    return new Promise((resolve, reject) => {
      const outgoing = httpRequest(
        {
          host: '127.0.0.1',
          port: this.#port,
          method,
          path,
          agent,
          headers: withoutUndefined({
            host: 'a.example',
            'x-id': 'id-1',
            'x-key': 'key-1',
            ...headers,
          }),
          ...(signal === undefined ? {} : {signal}),
        },
        (response) => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', (chunk: string) => (text += chunk));
          response.on('error', () => undefined);
          response.on('close', () => {
            const {statusCode = 0, headers: responseHeaders, complete} = response;
            resolve({
              status: statusCode,
              headers: responseHeaders,
              body: text,
              isComplete: complete,
            });
          });
        },
      );
      outgoing.on('error', reject);
      outgoing.end(body);
    });
  }

  /** Advances the virtual clock in steps and lets socket events settle after each. */
  async advance(ms: number): Promise<void> {
    const step = 50;
    for (let passed = 0; passed < ms; passed += step) {
      await this.clock.advance(Math.min(step, ms - passed));
      await flushPromises();
    }
  }

  async stop(): Promise<void> {
    for (const server of this.#servers.values()) {
      server.closeAllConnections();
      server.close();
    }
    const stopped = this.process.stop();
    await this.advance(9000);
    await stopped;
  }
}

function withoutUndefined(headers: Readonly<Record<string, string | undefined>>) {
  return Object.fromEntries(Object.entries(headers).filter(([, value]) => value !== undefined));
}

/** Resolves once a condition holds; events of real sockets arrive with a delay. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await flushPromises();
}
