/** The agent's HTTP server for entries: requests, resumed answers, control connection, health. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  cancelMethod,
  encodeWorkEvent,
  failureStatus,
  probeMethod,
  refusal,
  withdrawMethod,
  workSchema,
} from '@marigoldfold/protocol';
import {
  type ClusterKey,
  createControlServer,
  drained,
  formatEvent,
  type HttpServer,
  listen,
  type ListenError,
  Methods,
  openEventStream,
  readBody,
  sendJson,
  type ServerLimits,
} from '@marigoldfold/transport';
import type {Logger} from '@marigoldfold/runtime';
import type {Result} from 'neverthrow';
import type {Registry} from 'prom-client';
import type {Answer} from './answer.js';
import type {Worker} from './worker.js';

/** What the server needs. */
export interface AgentServerOptions {
  readonly host: string;
  readonly port: number;
  readonly limits: ServerLimits;
  readonly clusterKey: ClusterKey;
  readonly worker: Worker;
  /** Adds methods for peers to the control connection. */
  readonly offer: (methods: Methods) => Methods;
  readonly registry: Registry;
  readonly isReady: () => boolean;
  readonly logger: Logger;
}

const workPath = /^\/work\/([^/?]+)(?:\?after=(\d+))?$/;
const STATUS = {
  ok: 200,
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  unavailable: 503,
} as const;

/** Starts the server. */
export async function startAgentServer(
  options: AgentServerOptions,
): Promise<Result<HttpServer, ListenError>> {
  const {worker, clusterKey, logger} = options;
  const methods = options
    .offer(new Methods())
    .add(probeMethod, () => worker.load())
    .add(withdrawMethod, ({id}) => ({outcome: worker.withdraw(id)}))
    .add(cancelMethod, ({id}) => ({wasKnown: worker.cancel(id)}));
  const control = createControlServer(methods, clusterKey);
  const server = await listen({
    host: options.host,
    port: options.port,
    limits: options.limits,
    handle: (request, response) => handle(options, request, response),
    upgrade: (request, socket, head) => {
      control.upgrade(request, socket, head);
    },
    onDefect: (error) => {
      logger.error('defect', {reason: String(error)});
    },
  });
  return server.map((listening) => ({
    ...listening,
    // Control connections stay open for as long as their peers live, so they are closed first.
    drain() {
      control[Symbol.dispose]();
      return listening.drain();
    },
    [Symbol.dispose]() {
      control[Symbol.dispose]();
      listening[Symbol.dispose]();
    },
  }));
}

async function handle(
  options: AgentServerOptions,
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
  if (!options.clusterKey.isShownBy(request.headers)) {
    sendJson(response, STATUS.unauthorized, {message: 'the cluster key is missing or wrong'});
    return;
  }
  const resumed = workPath.exec(url);
  if (request.method === 'GET' && resumed?.[1] !== undefined) {
    await resume(options.worker, resumed[1], Number(resumed[2] ?? 0), response);
    return;
  }
  if (request.method === 'POST' && url === '/work') {
    await submit(options, request, response);
    return;
  }
  sendJson(response, STATUS.notFound, {message: `no such path: ${url}`});
}

async function submit(
  {worker, limits}: AgentServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(request, limits);
  const work = body.isErr() ? undefined : readWork(body.value);
  if (work === undefined) {
    const failure = refusal('bad_request', 'the request of the entry cannot be read');
    sendJson(response, STATUS.badRequest, {failure, load: worker.load()});
    return;
  }
  const answer = worker.submit(work);
  if (answer.isErr()) {
    const failure = answer.error;
    sendJson(response, failureStatus(failure), {failure, load: worker.load()});
    return;
  }
  await streamAnswer(answer.value, 0, response);
}

function readWork(body: Buffer) {
  try {
    return workSchema.safeParse(JSON.parse(body.toString())).data;
  } catch {
    return undefined;
  }
}

async function resume(
  worker: Worker,
  id: string,
  after: number,
  response: ServerResponse,
): Promise<void> {
  const answer = worker.answer(id);
  if (answer === undefined) {
    sendJson(response, STATUS.notFound, {message: `no request ${id}`});
    return;
  }
  await streamAnswer(answer, after, response);
}

async function streamAnswer(
  answer: Answer,
  after: number,
  response: ServerResponse,
): Promise<void> {
  const controller = new AbortController();
  response.once('close', () => {
    controller.abort();
  });
  openEventStream(response);
  for await (const event of answer.read(after, controller.signal)) {
    response.write(formatEvent(encodeWorkEvent(event)));
    if (response.writableNeedDrain) await drained(response);
  }
  response.end();
}
