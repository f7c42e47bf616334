/** A router on a virtual clock, between real sockets: clients on one side, scripted endpoints on the other. */
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
  settle,
  silentLogger,
  VirtualClock,
} from '@marigoldfold/runtime';
import {SwitchableKeyValue, MemoryKeyValue} from '@marigoldfold/standin';
import type {EndpointRecord, Route, RoutingConfiguration} from '@marigoldfold/state';
import {err, ok} from 'neverthrow';
import type {MetadataCodec} from '../metadataCodec.js';
import {type ForwardBounds, ForwardProcess} from '../forwardProcess.js';

/** Headers with plain names. */
export const testCodec: MetadataCodec = {
  decodeRequest: (headers) => ({
    id: text(headers['x-id']),
    deadlineMs: headers['x-deadline'] === undefined ? undefined : Number(headers['x-deadline']),
    key: text(headers['x-key']),
    prompt: undefined,
  }),
  encodeRequest: (headers, facts) => [
    ...headers,
    'x-endpoint',
    facts.endpointId,
    'x-left',
    String(facts.deadlineMs),
    'x-rank',
    String(facts.rank),
    ...(facts.accountName === undefined ? [] : ['x-account', facts.accountName]),
    ...(facts.lastEventId === undefined ? [] : ['last-event-id', facts.lastEventId]),
  ],
  decodeResponse: (_status, headers) => ({
    requestId: text(headers['x-id']),
    isSigned: headers['x-signed'] !== undefined,
    isNotExecuted: headers['x-not-executed'] !== undefined,
    load: undefined,
  }),
};

function text(header: string | string[] | undefined): string | undefined {
  return typeof header === 'string' ? header : undefined;
}

/** A route with usual values. */
export function routeOf(overrides: Partial<Route> = {}): Route {
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

/** A configuration with one route, one service and one account whose key is `key-1`. */
export function configurationOf(
  overrides: Partial<RoutingConfiguration> = {},
): RoutingConfiguration {
  return {
    version: 1,
    routes: [routeOf()],
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

/** What a scripted endpoint saw. */
export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly body: string;
}

/** A scripted endpoint. */
export interface TestEndpoint {
  readonly id: string;
  readonly received: ReceivedRequest[];
}

/** Answers one request of an endpoint. */
export type EndpointScript = (
  response: ServerResponse,
  seen: ReceivedRequest,
) => Promise<void> | void;

/** What a client got. */
export interface ClientResult {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the answer ended as its framing says. */
  readonly isWhole: boolean;
}

/** Headers of a good answer to a request. */
export function signedHeaders(request: IncomingMessage): Record<string, string> {
  return {'x-id': String(request.headers['x-id']), 'x-signed': 'yes'};
}

const bounds: ForwardBounds = {
  revocationMs: 5000,
  configurationMs: 2000,
  stopMs: 8000,
  repeats: {ratio: 10, windowMs: 10_000, slack: 50},
};

/** A router with its store and endpoints. */
export class ForwardRig {
  readonly clock = new VirtualClock(1000);
  readonly store = new MemoryKeyValue(this.clock);
  readonly switchableStore = new SwitchableKeyValue(this.store, this.clock);
  readonly logEntries: (LogFields & {readonly message: string})[] = [];
  readonly #servers: Server[] = [];
  /** Kept, since a server that is closed does not tell it any more. */
  #port = 0;
  readonly process: ForwardProcess;

  constructor() {
    const log = (message: string, fields?: LogFields) => {
      this.logEntries.push({message, ...fields});
    };
    this.process = new ForwardProcess({
      clock: this.clock,
      random: seededRandom(1),
      logger: {...silentLogger, debug: log, info: log, warn: log, error: log},
      codec: testCodec,
      source: {
        store: this.switchableStore,
        prefix: '',
        configurationKey: 'configuration',
        endpointsPrefix: 'endpoints/',
        peersPrefix: 'peers/',
        decodeConfiguration: (value) => ok(JSON.parse(value) as RoutingConfiguration),
        decodeEndpoint: (_key, value) =>
          value === 'garbage' ? err('not JSON') : ok(JSON.parse(value) as EndpointRecord),
        endpointIdOf: (key) => key.slice('endpoints/'.length),
      },
      name: 'front-1',
      peerAddress: '127.0.0.1:0',
      clientAddress: '127.0.0.1:0',
      readyAddress: '127.0.0.1:0',
      metricsAddress: '127.0.0.1:0',
      readyPath: '/ready',
      metricsPath: '/metrics',
      bounds,
    });
  }

  /** Starts the router with a configuration. */
  async start(configuration: RoutingConfiguration | 'none' = configurationOf()): Promise<void> {
    if (configuration !== 'none') await this.configure(configuration);
    await this.process.start();
    this.#port = this.process.clientPort;
    await this.syncStore();
  }

  /** Lets the router take over what is in the store. */
  async syncStore(): Promise<void> {
    await this.clock.advance(700);
  }

  async configure(configuration: RoutingConfiguration): Promise<void> {
    await this.put('configuration', JSON.stringify(configuration));
  }

  /** Writes a key, whatever it held. */
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
      const parts: Buffer[] = [];
      request.on('data', (part: Buffer) => parts.push(part));
      request.on('end', () => {
        const entry = {request, body: Buffer.concat(parts).toString()};
        received.push(entry);
        void script(response, entry);
      });
    });
    this.#servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    await this.register({id, address, ...record});
    return {id, received};
  }

  async register(record: Partial<EndpointRecord> & {readonly id: string}): Promise<void> {
    const whole: EndpointRecord = {
      service: 'app',
      address: '127.0.0.1:1',
      failureDomain: 'a',
      slots: 8,
      isLeaving: false,
      startedAtMs: 1,
      ...record,
    };
    await this.put(`endpoints/${record.id}`, JSON.stringify(whole));
  }

  /** Sends a request of a client and waits for the end of its answer. */
  sendRequest(
    headers: Readonly<Record<string, string>> = {},
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
          headers: {host: 'a.example', 'x-id': 'id-1', 'x-key': 'key-1', ...headers},
          ...(signal === undefined ? {} : {signal}),
        },
        (answer) => {
          let text = '';
          answer.setEncoding('utf8');
          answer.on('data', (part: string) => (text += part));
          answer.on('error', () => undefined);
          answer.on('close', () => {
            const {statusCode = 0, headers: got, complete} = answer;
            resolve({status: statusCode, headers: got, body: text, isWhole: complete});
          });
        },
      );
      outgoing.on('error', reject);
      outgoing.end(body);
    });
  }

  /** Moves the router's time on while sockets have real time to work. */
  async advance(ms: number): Promise<void> {
    const step = 50;
    for (let passed = 0; passed < ms; passed += step) {
      await this.clock.advance(Math.min(step, ms - passed));
      await settle();
    }
  }

  async stop(): Promise<void> {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
    const stopped = this.process.stop();
    await this.advance(9000);
    await stopped;
  }
}

/** Resolves once a condition holds; real sockets take a moment. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await settle();
}
