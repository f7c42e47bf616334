/** HTTP server of the agent: requests, resumed answers, control connections, health and metrics. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  acknowledgeMethod,
  cancelMethod,
  encodeWorkEvent,
  failureStatus,
  incarnationHeader,
  probeMethod,
  refusal,
  withdrawMethod,
  workRequestSchema,
} from '@marigoldfold/protocol';
import {
  budgetOptions,
  type ClusterKey,
  createControlServer,
  waitForDrain,
  formatEvent,
  isClientDisconnected,
  type HttpServer,
  listen,
  type ListenError,
  MemoryBudget,
  RpcMethods,
  openEventStream,
  readPinnedBody,
  sendJson,
  type ServerLimits,
} from '@marigoldfold/transport';
import {type Clock, type Logger, nextPoll, repeat, sleep} from '@marigoldfold/runtime';
import type {Result} from 'neverthrow';
import type {Registry} from 'prom-client';
import type {Answer} from './answer.js';
import type {Worker} from './worker.js';

/** Address, limits and dependencies of {@link startAgentServer}. */
export interface AgentServerOptions {
  readonly host: string;
  readonly port: number;
  readonly limits: ServerLimits;
  readonly clusterKey: ClusterKey;
  readonly worker: Worker;
  /** Adds the methods that peers call over the control connection. */
  readonly addPeerMethods: (methods: RpcMethods) => RpcMethods;
  readonly clock: Clock;
  readonly registry: Registry;
  readonly isReady: () => boolean;
  readonly logger: Logger;
}

/** Dependencies of the server's request handlers. */
interface HandlerOptions extends AgentServerOptions {
  readonly memory: MemoryBudget;
}

const DRAIN_CHECK_INTERVAL_MS = 20;
/** Shortest useful retry delay without memory; uploads in progress end within seconds. */
const RETRY_AFTER_MS = 1000;
const workPath = /^\/work\/([^/?]+)(?:\?after=(\d+))?$/;
const STATUS = {
  ok: 200,
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  unavailable: 503,
} as const;

/** Starts the server; fails when the address cannot be bound. */
export async function startAgentServer(
  options: AgentServerOptions,
): Promise<Result<HttpServer, ListenError>> {
  const {worker, clusterKey, logger} = options;
  const methods = options
    .addPeerMethods(new RpcMethods())
    .add(probeMethod, () => worker.load())
    .add(withdrawMethod, ({id}) => ({
      outcome: worker.withdraw(id),
      incarnation: worker.incarnation,
    }))
    .add(cancelMethod, ({id}) => ({wasKnown: worker.cancel(id)}))
    .add(acknowledgeMethod, ({id, chunk}) => {
      worker.acknowledge(id, chunk);
      return {};
    });
  const memory = new MemoryBudget({
    ...budgetOptions(options.clock, options.limits.maxMemoryBytes),
    onEviction: (eviction) => {
      logger.info('memory evicted', {...eviction});
    },
    onCallbackError: (error) => {
      logger.error('eviction handler failed', {reason: String(error)});
    },
  });
  const control = createControlServer(methods, clusterKey);
  const server = await listen({
    host: options.host,
    port: options.port,
    limits: options.limits,
    budget: memory,
    onConnectionClosed: (connection) => {
      logger.info('connection closed', {reason: 'limit', ...connection});
    },
    handle: (request, response) => handle({...options, memory}, request, response),
    upgrade: (request, socket, head) => {
      control.upgrade(request, socket, head);
    },
    onUnhandledError: (error) => {
      logger.error('request handler failed', {reason: String(error)});
    },
  });
  return server.map((listening) => ({
    ...listening,
    async drain() {
      // Control connections close last, because entries use them to query the outcome of requests.
      while (listening.activeCount() > 0) await sleep(options.clock, DRAIN_CHECK_INTERVAL_MS);
      control[Symbol.dispose]();
      await listening.drain();
    },
    [Symbol.dispose]() {
      control[Symbol.dispose]();
      listening[Symbol.dispose]();
    },
  }));
}

async function handle(
  options: HandlerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = request.url ?? '';
  if (url === '/healthz') {
    sendJson(response, STATUS.ok, {status: 'ok'});
    return;
  }
  if (url === '/readyz') {
    const isReady = options.isReady();
    sendJson(response, isReady ? STATUS.ok : STATUS.unavailable, {ready: isReady});
    return;
  }
  if (url === '/metrics') {
    response.writeHead(STATUS.ok, {'content-type': options.registry.contentType});
    response.end(await options.registry.metrics());
    return;
  }
  if (!options.clusterKey.authenticates(request.headers)) {
    sendJson(response, STATUS.unauthorized, {message: 'the cluster key is missing or wrong'});
    return;
  }
  response.setHeader(incarnationHeader, options.worker.incarnation);
  const resumeMatch = workPath.exec(url);
  if (request.method === 'GET' && resumeMatch?.[1] !== undefined) {
    await resume(options, resumeMatch[1], Number(resumeMatch[2] ?? 0), response);
    return;
  }
  if (request.method === 'POST' && url === '/work') {
    await submit(options, request, response);
    return;
  }
  sendJson(response, STATUS.notFound, {message: `no such path: ${url}`});
}

async function submit(
  options: HandlerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const {worker, limits, memory: budget} = options;
  const owner = request.socket.remoteAddress ?? '';
  const body = await readPinnedBody(request, response, limits, {budget, owner});
  const work = body.isErr() ? undefined : readWork(body.value);
  // A request whose entry disconnected is not started; the entry may query its outcome by id later.
  await nextPoll();
  if (isClientDisconnected(request)) return;
  if (body.isErr() && body.error === 'no_memory') {
    const failure = refusal('memory_exhausted', 'the agent has no memory left', RETRY_AFTER_MS);
    const headers = {connection: 'close', 'retry-after': '1'};
    sendJson(response, failureStatus(failure), {failure, load: worker.load()}, headers);
    return;
  }
  if (work === undefined) {
    const failure = refusal('bad_request', 'the request body is not a valid work request');
    sendJson(response, STATUS.badRequest, {failure, load: worker.load()});
    return;
  }
  const answer = worker.submit(work);
  if (answer.isErr()) {
    const failure = answer.error;
    sendJson(response, failureStatus(failure), {failure, load: worker.load()});
    return;
  }
  await streamAnswer(options, answer.value, 0, response);
}

function readWork(body: Buffer) {
  try {
    return workRequestSchema.safeParse(JSON.parse(body.toString())).data;
  } catch {
    return undefined;
  }
}

async function resume(
  options: AgentServerOptions,
  id: string,
  after: number,
  response: ServerResponse,
): Promise<void> {
  const answer = options.worker.answer(id);
  if (answer === undefined) {
    sendJson(response, STATUS.notFound, {message: `unknown request: ${id}`});
    return;
  }
  await streamAnswer(options, answer, after, response);
}

const KEEP_ALIVE_INTERVAL_MS = 5000;

async function streamAnswer(
  {clock, limits}: AgentServerOptions,
  answer: Answer,
  after: number,
  response: ServerResponse,
): Promise<void> {
  const controller = new AbortController();
  response.once('close', () => {
    controller.abort();
  });
  openEventStream(response);
  let isIdle = false;
  const keepAlive = repeat(
    clock,
    () => KEEP_ALIVE_INTERVAL_MS,
    () => {
      if (isIdle) response.write(formatEvent(encodeWorkEvent({kind: 'alive'})));
      isIdle = true;
    },
  );
  for await (const event of answer.read(after, controller.signal)) {
    isIdle = false;
    response.write(formatEvent(encodeWorkEvent(event)));
    const {stalledReaderTimeoutMs} = limits;
    await waitForDrain(response, {stalledTimeoutMs: stalledReaderTimeoutMs});
  }
  keepAlive[Symbol.dispose]();
  response.end();
}
