/** The HTTP API for callers: OpenAI-compatible generations and calls to plain services. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {type Failure, refusal} from '@marigoldfold/protocol';
import {sendJson} from '@marigoldfold/transport';
import {
  type CallersApiOptions,
  type CallerExchange,
  sendFailure,
  listUsableSets,
} from './callerExchange.js';
import {authenticate, chatPath, classHeader, completionPath} from './callerRequest.js';
import {serveGeneration} from './generationApi.js';
import {serveCall} from './serviceApi.js';

const OK = 200;
const modelsPath = '/v1/models';
const servicePathPattern = /^\/v1\/services\/([^/?]+)([/?].*)?$/;

/** The only method allowed on each fixed path. */
const methodByPath: ReadonlyMap<string, string> = new Map([
  [modelsPath, 'GET'],
  [chatPath, 'POST'],
  [completionPath, 'POST'],
]);

/** Creates the request handler: authenticates, dispatches by path and sends failures. */
export function createCallersApi(options: CallersApiOptions) {
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const id = options.nextRequestId();
    response.setHeader('x-request-id', id);
    const head = options.head();
    const caller = authenticate(head.configuration, request.headers);
    if (caller.isErr()) {
      response.setHeader('www-authenticate', 'Bearer');
      sendFailure(options, {id, response}, caller.error, {configuration: head.number});
      return;
    }
    const exchange: CallerExchange = {id, request, response, head, caller: caller.value};
    const failure = await dispatch(options, exchange);
    // Closes the connection of a client that stops reading its answer.
    response.setTimeout(options.limits.stalledReaderTimeoutMs);
    if (failure === undefined) return;
    sendFailure(options, exchange, failure, {
      class: String(request.headers[classHeader] ?? caller.value.account.defaultClass),
      account: caller.value.accountName,
      configuration: head.number,
    });
  };
}

/** Resolves to a failure that the caller of this function must send, or undefined. */
function dispatch(
  options: CallersApiOptions,
  exchange: CallerExchange,
): Promise<Failure | undefined> {
  const {request, response} = exchange;
  const url = request.url ?? '';
  const method = request.method ?? '';
  const path = url.split('?')[0] ?? '';
  const service = servicePathPattern.exec(url);
  if (service?.[1] !== undefined) {
    return serveCall(options, exchange, service[1], servicePathOf(service[2]));
  }
  const allowed = methodByPath.get(path);
  if (allowed === undefined) {
    return Promise.resolve(refusal('not_found', `${method} ${path} is not part of this API`));
  }
  if (method !== allowed) {
    response.setHeader('allow', allowed);
    const message = `${path} takes ${allowed}, not ${method}`;
    return Promise.resolve(refusal('method_not_allowed', message));
  }
  if (path !== modelsPath) return serveGeneration(options, exchange, path);
  sendModels(exchange);
  return Promise.resolve(undefined);
}

function servicePathOf(rest = '/'): string {
  return rest.startsWith('/') ? rest : `/${rest}`;
}

function sendModels({response, head, caller}: CallerExchange): void {
  const names = new Set<string>();
  for (const className of caller.account.classes) {
    for (const set of listUsableSets(head.configuration, className)) {
      for (const model of set.models) names.add(model);
    }
  }
  const data = [...names]
    .sort()
    .map((id) => ({id, object: 'model', created: 0, owned_by: 'marigoldfold'}));
  sendJson(response, OK, {object: 'list', data});
}
