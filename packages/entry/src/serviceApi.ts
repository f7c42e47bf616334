/** Serves calls to plain services. */
import {type Failure, refusal} from '@marigoldfold/protocol';
import type {RequestTimer} from './requestMetrics.js';
import {
  admitAndServe,
  type CallersApiOptions,
  createWork,
  type CallerExchange,
  readRequestBody,
  listUsableSets,
} from './callerExchange.js';
import {resolveClass} from './callerRequest.js';
import type {RoutedAnswer, RoutedEnd} from './attempt.js';
import type {RoutedRequest} from './router.js';
import {findServiceSet, isNonIdempotent, readServiceCall} from './serviceCall.js';

/** Limited because the idempotency key becomes part of a key in the key-value service. */
const MAX_IDEMPOTENCY_KEY_CHARACTERS = 255;
const OK = 200;

/** Serves a call; resolves to a failure that the caller of this function must send. */
export async function serveCall(
  options: CallersApiOptions,
  exchange: CallerExchange,
  service: string,
  path: string,
): Promise<Failure | undefined> {
  const {request, head, caller} = exchange;
  const named = resolveClass(head.configuration, caller, request.headers);
  if (named.isErr()) return named.error;
  const set = findServiceSet(listUsableSets(head.configuration, named.value.name), service);
  if (set === undefined) {
    const message = `class ${named.value.name} has no endpoints of service ${service}`;
    return refusal('unknown_service', message);
  }
  const allSets = head.configuration.all('endpointSet').values();
  const needsKey = isNonIdempotent(allSets, service, request.method ?? '', path);
  const key = request.headers['idempotency-key'];
  const problem = needsKey ? findKeyProblem(key, `${request.method ?? ''} ${path}`) : undefined;
  if (problem !== undefined) return problem;
  const body = await readRequestBody(options, exchange);
  if (body.isErr()) return body.error;
  const task = readServiceCall(request, service, path, body.value, needsKey ? key : undefined);
  return admitAndServe(options, exchange, named.value, (timer, {signal}) => {
    const routed: RoutedRequest = {
      work: createWork(options, exchange, named.value, {task, promptTokens: 0}),
      criteria: {
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

function findKeyProblem(key: string | string[] | undefined, call: string): Failure | undefined {
  if (typeof key !== 'string' || key === '') {
    const message = `Idempotency-Key: ${call} may run at most once and needs this header`;
    return refusal('idempotency_key_missing', message);
  }
  if (key.length <= MAX_IDEMPOTENCY_KEY_CHARACTERS) return undefined;
  const message = `Idempotency-Key: has more than ${MAX_IDEMPOTENCY_KEY_CHARACTERS} characters`;
  return refusal('bad_request', message);
}

async function sendCallAnswer(
  {response}: CallerExchange,
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
