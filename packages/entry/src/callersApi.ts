/** The HTTP API for callers: OpenAI-compatible generations and calls to plain services. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AccountLimits} from '@marigoldfold/coordination';
import {
  type Failure,
  failureBody,
  failureStatus,
  refusal,
  type Task,
  type Work,
} from '@marigoldfold/protocol';
import type {Clock, Logger} from '@marigoldfold/runtime';
import type {Configuration, EndpointSet, Head} from '@marigoldfold/state';
import {
  drained,
  formatEvent,
  openEventStream,
  readBody,
  sendJson,
  type ServerLimits,
} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {type RequestMetrics, RequestTimer} from './attainment.js';
import {
  authenticate,
  type Caller,
  chatPath,
  completionPath,
  type GenerationRequest,
  type NamedClass,
  readGeneration,
  resolveClass,
} from './callerRequest.js';
import {CompletionAssembly} from './completionAssembly.js';
import type {RoutedAnswer, RoutedEnd, RoutedRequest, Router} from './router.js';
import {findServiceSet, isNonIdempotent, readServiceCall} from './serviceCall.js';

/** What the API needs. */
export interface CallersApiOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly limits: ServerLimits;
  readonly head: () => Head;
  readonly accountLimits: AccountLimits;
  readonly router: Router;
  readonly metrics: RequestMetrics;
  readonly nextRequestId: () => string;
}

interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: Head;
  readonly caller: Caller;
}

/** First-token budget of classes without a target, in milliseconds. */
const UNTARGETED_BUDGET_MS = 3_600_000;
const OK = 200;
const servicePath = /^\/v1\/services\/([^/?]+)(\/.*)?$/;

/** Handles requests of callers. */
export function createCallersApi(options: CallersApiOptions) {
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const id = options.nextRequestId();
    response.setHeader('x-request-id', id);
    const head = options.head();
    const caller = authenticate(head.configuration, request.headers);
    if (caller.isErr()) {
      sendFailure(options, response, id, caller.error);
      return;
    }
    const exchange: Exchange = {id, request, response, head, caller: caller.value};
    const failure = await dispatch(options, exchange);
    if (failure !== undefined) sendFailure(options, response, id, failure);
  };
}

/** Serves a request; resolves to a failure that has not been sent yet. */
function dispatch(options: CallersApiOptions, exchange: Exchange): Promise<Failure | undefined> {
  const {request} = exchange;
  const path = (request.url ?? '').split('?')[0] ?? '';
  if (request.method === 'GET' && path === '/v1/models') {
    sendModels(exchange);
    return Promise.resolve(undefined);
  }
  if (request.method === 'POST' && (path === chatPath || path === completionPath)) {
    return serveGeneration(options, exchange, path);
  }
  const service = servicePath.exec(request.url ?? '');
  if (service?.[1] !== undefined) {
    return serveCall(options, exchange, service[1], service[2] ?? '/');
  }
  const message = `${request.method ?? ''} ${path} is not part of this API`;
  return Promise.resolve(refusal('not_found', message));
}

function sendFailure(
  {logger}: CallersApiOptions,
  response: ServerResponse,
  id: string,
  failure: Failure,
): void {
  const {code, ran, retryAfterMs} = failure;
  logger.info('refused', {decision: 'refusal', request: id, code, ran});
  const headers: Record<string, string> = {};
  if (retryAfterMs !== undefined) headers['retry-after'] = String(Math.ceil(retryAfterMs / 1000));
  sendJson(response, failureStatus(failure), failureBody(failure, id), headers);
}

function sendModels({response, head, caller}: Exchange): void {
  const names = new Set<string>();
  for (const className of caller.account.classes) {
    for (const set of usableSets(head.configuration, className)) {
      for (const model of set.models) names.add(model);
    }
  }
  const data = [...names]
    .sort()
    .map((id) => ({id, object: 'model', created: 0, owned_by: 'marigoldfold'}));
  sendJson(response, OK, {object: 'list', data});
}

function usableSets(configuration: Configuration, className: string): readonly EndpointSet[] {
  const sets: EndpointSet[] = [];
  for (const name of configuration.get('class', className)?.endpointSets ?? []) {
    const set = configuration.get('endpointSet', name);
    if (set !== undefined) sets.push(set);
  }
  return sets;
}

async function serveGeneration(
  options: CallersApiOptions,
  exchange: Exchange,
  path: string,
): Promise<Failure | undefined> {
  const body = await readCheckedBody(options, exchange);
  if (body.isErr()) return body.error;
  const parsed = readGeneration(path, body.value);
  if (parsed.isErr()) return parsed.error;
  const generation = parsed.value;
  const {configuration} = exchange.head;
  const named = resolveClass(configuration, exchange.caller, exchange.request.headers);
  if (named.isErr()) return named.error;
  const {model} = generation.generation;
  const sets = usableSets(configuration, named.value.name);
  if (!sets.some((set) => set.models.includes(model))) {
    const message = `model: class ${named.value.name} has no endpoints with model ${model}`;
    return refusal('unknown_model', message);
  }
  return admitAndServe(options, exchange, named.value, (timer, signal) => {
    const routed: RoutedRequest = {
      work: createWork(options, exchange, named.value, {
        task: generation.generation,
        promptTokens: generation.promptTokens,
      }),
      demand: {
        requestClass: named.value.requestClass,
        tier: named.value.requestClass.tier,
        target: {kind: 'model', model},
        prefixKey: generation.prefixKey,
      },
    };
    const answer = options.router.route(routed, signal);
    return generation.isStreamed
      ? sendStream(exchange, answer, timer)
      : sendWhole(exchange, generation, answer, timer);
  });
}

async function serveCall(
  options: CallersApiOptions,
  exchange: Exchange,
  service: string,
  path: string,
): Promise<Failure | undefined> {
  const {request, head, caller} = exchange;
  const named = resolveClass(head.configuration, caller, request.headers);
  if (named.isErr()) return named.error;
  const set = findServiceSet(usableSets(head.configuration, named.value.name), service);
  if (set === undefined) {
    const message = `class ${named.value.name} has no endpoints of service ${service}`;
    return refusal('unknown_service', message);
  }
  const key = request.headers['idempotency-key'];
  const needsKey = isNonIdempotent(set, request.method ?? '', path);
  if (needsKey && (typeof key !== 'string' || key === '')) {
    const message = `${request.method ?? ''} ${path} may run at most once and needs an Idempotency-Key header`;
    return refusal('idempotency_key_missing', message);
  }
  const body = await readCheckedBody(options, exchange);
  if (body.isErr()) return body.error;
  const task = readServiceCall(request, service, path, body.value, needsKey ? key : undefined);
  return admitAndServe(options, exchange, named.value, (timer, signal) => {
    const routed: RoutedRequest = {
      work: createWork(options, exchange, named.value, {task, promptTokens: 0}),
      demand: {
        requestClass: named.value.requestClass,
        tier: named.value.requestClass.tier,
        target: {
          kind: 'service',
          service,
          ...(task.idempotencyKey === undefined
            ? {}
            : {affinityKey: `${caller.accountName}/${task.idempotencyKey}`}),
        },
      },
    };
    return sendCallAnswer(exchange, options.router.route(routed, signal), timer);
  });
}

async function readCheckedBody(
  {limits}: CallersApiOptions,
  {request}: Exchange,
): Promise<Result<Buffer, Failure>> {
  const body = await readBody(request, limits);
  if (body.isOk()) return ok(body.value);
  switch (body.error) {
    case 'too_large':
      return err(refusal('body_too_large', `the body is over ${limits.maxBodyBytes} bytes`));
    case 'timed_out':
      return err(refusal('request_timeout', 'the body did not arrive in time'));
    case 'aborted':
      return err(refusal('caller_gone', 'the caller has gone'));
  }
}

type Send = (timer: RequestTimer, signal: AbortSignal) => Promise<RoutedEnd>;

async function admitAndServe(
  options: CallersApiOptions,
  exchange: Exchange,
  named: NamedClass,
  send: Send,
): Promise<Failure | undefined> {
  const {accountName, account} = exchange.caller;
  const timer = new RequestTimer(options.clock, options.metrics, named.name, named.requestClass);
  const {tier} = named.requestClass;
  const admitted = await options.accountLimits.admit(accountName, account, tier);
  if (admitted.isErr()) {
    timer.finish('refused');
    return admitted.error;
  }
  const controller = new AbortController();
  exchange.response.once('close', () => {
    controller.abort();
  });
  const end = await send(timer, controller.signal);
  admitted.value[Symbol.dispose]();
  const isCancelled = end.kind === 'failed' && controller.signal.aborted;
  const outcome = finishTimer(timer, end, isCancelled);
  options.logger.info('request', {
    request: exchange.id,
    class: named.name,
    account: accountName,
    configuration: exchange.head.number,
    outcome,
  });
  if (end.kind === 'whole' || exchange.response.headersSent) return undefined;
  return end.failure;
}

function finishTimer(timer: RequestTimer, end: RoutedEnd, isCancelled: boolean) {
  if (end.kind === 'whole') return timer.finishWhole();
  if (isCancelled) return timer.finish('cancelled');
  return timer.finish(end.failure.ran === 'no' ? 'refused' : 'failed');
}

interface WorkContent {
  readonly task: Task;
  readonly promptTokens: number;
}

function createWork(
  {incarnation}: CallersApiOptions,
  {id, caller, head}: Exchange,
  {name, requestClass}: NamedClass,
  {task, promptTokens}: WorkContent,
): Work {
  const {tier, firstTokenMs, completionMs, interTokenMs, typicalOutputTokens} = requestClass;
  return {
    id,
    entry: incarnation,
    account: caller.accountName,
    class: name,
    tier,
    firstTokenBudgetMs: firstTokenMs ?? completionMs ?? UNTARGETED_BUDGET_MS,
    interTokenTargetMs: interTokenMs,
    typicalOutputTokens,
    promptTokens,
    configuration: head.number,
    task,
  };
}

async function sendStream(
  {id, response}: Exchange,
  answer: RoutedAnswer,
  timer: RequestTimer,
): Promise<RoutedEnd> {
  while (true) {
    const {done, value} = await answer.next();
    if (done === true) {
      if (value.kind === 'whole') {
        if (!response.headersSent) openEventStream(response);
        response.end(formatEvent({data: '[DONE]'}));
      } else if (response.headersSent) {
        response.end(formatEvent({data: JSON.stringify(failureBody(value.failure, id))}));
      }
      return value;
    }
    if (value.kind !== 'chunk') continue;
    timer.observeChunk();
    if (!response.headersSent) openEventStream(response);
    response.write(formatEvent({data: value.data}));
    if (response.writableNeedDrain) await drained(response);
  }
}

async function sendWhole(
  {response}: Exchange,
  {isChat}: GenerationRequest,
  answer: RoutedAnswer,
  timer: RequestTimer,
): Promise<RoutedEnd> {
  const assembly = new CompletionAssembly(isChat);
  while (true) {
    const {done, value} = await answer.next();
    if (done === true) {
      if (value.kind === 'whole') sendJson(response, OK, assembly.build());
      return value;
    }
    if (value.kind !== 'chunk') continue;
    timer.observeChunk();
    if (!assembly.add(value.data)) {
      await answer.return({kind: 'whole'});
      const message = 'the engine gave a part of the answer that cannot be read';
      return {kind: 'failed', failure: {code: 'answer_incomplete', message, ran: 'yes'}};
    }
  }
}

async function sendCallAnswer(
  {response}: Exchange,
  answer: RoutedAnswer,
  timer: RequestTimer,
): Promise<RoutedEnd> {
  let head: {readonly status: number; readonly headers: Readonly<Record<string, string>>} = {
    status: OK,
    headers: {},
  };
  const parts: Buffer[] = [];
  while (true) {
    const {done, value} = await answer.next();
    if (done === true) {
      if (value.kind === 'whole') {
        response.writeHead(head.status, {...head.headers});
        response.end(Buffer.concat(parts));
      }
      return value;
    }
    if (value.kind === 'head') head = value;
    else {
      timer.observeChunk();
      parts.push(Buffer.from(value.data, 'base64'));
    }
  }
}
