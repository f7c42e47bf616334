/** Handling that all callers' requests share: failures, bodies, admission and creating the request to an agent. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AccountLimits} from '@marigoldfold/coordination';
import {
  type Failure,
  createFailureBody,
  failureStatus,
  refusal,
  type Task,
  type WorkRequest,
} from '@marigoldfold/protocol';
import {
  type Clock,
  DisposableStore,
  type LogFields,
  type Logger,
  nextPoll,
} from '@marigoldfold/runtime';
import type {Configuration, EndpointSet, ChainHead} from '@marigoldfold/state';
import {
  isClientDisconnected,
  onClientDisconnect,
  readPinnedBody,
  sendJson,
  type MemoryBudget,
  type ServerLimits,
} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {type RequestMetrics, type RequestOutcome, RequestTimer} from './requestMetrics.js';
import {type Caller, type NamedClass} from './callerRequest.js';
import type {RoutedEnd} from './attempt.js';
import type {Router} from './router.js';

/** Configuration, router, limits and metrics that the callers' API needs. */
export interface CallersApiOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly limits: ServerLimits;
  /** Memory that callers make the process hold; without it, only each request is limited. */
  readonly memory?: MemoryBudget;
  readonly head: () => ChainHead;
  readonly accountLimits: Pick<AccountLimits, 'admit'>;
  readonly router: Pick<Router, 'route'>;
  readonly metrics: RequestMetrics;
  readonly nextRequestId: () => string;
}

/** One authenticated request with its response. */
export interface CallerExchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly head: ChainHead;
  readonly caller: Caller;
}

/** Budget for the first token in classes without a latency objective: one hour. */
const DEFAULT_FIRST_TOKEN_BUDGET_MS = 3_600_000;
/** Shortest useful retry delay without memory; uploads in progress end within seconds. */
const MEMORY_RETRY_AFTER_MS = 1000;
const MS_PER_SECOND = 1000;

/** Sends a failure to the caller, logs the decision and counts the refusal. */
export function sendFailure(
  {logger, metrics}: CallersApiOptions,
  {id, response}: Pick<CallerExchange, 'id' | 'response'>,
  failure: Failure,
  fields: LogFields,
): void {
  const {code, ran, retryAfterMs} = failure;
  logger.info('refused', {decision: 'refusal', request: id, code, ran, ...fields});
  metrics.refusals.inc({code, ran});
  const headers: Record<string, string> = {};
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
  }
  if (code === 'memory_exhausted') headers.connection = 'close';
  sendJson(response, failureStatus(failure), createFailureBody(failure, id), headers);
}

/** The endpoint sets that a class may use; names of sets that do not exist are skipped. */
export function listUsableSets(
  configuration: Configuration,
  className: string,
): readonly EndpointSet[] {
  const sets: EndpointSet[] = [];
  for (const name of configuration.get('class', className)?.endpointSets ?? []) {
    const set = configuration.get('endpointSet', name);
    if (set !== undefined) sets.push(set);
  }
  return sets;
}

/** Reads the request body within the server's size and time limits. */
export async function readRequestBody(
  {limits, memory: budget, logger}: CallersApiOptions,
  {id, request, response, caller}: CallerExchange,
): Promise<Result<Buffer, Failure>> {
  const owner = caller.accountName;
  const onRefused = (bytes: number) => {
    logger.info('memory refused', {request: id, kind: 'body', owner, bytes, rule: 'no_room'});
  };
  const memory = budget === undefined ? undefined : {budget, owner, onRefused};
  const body = await readPinnedBody(request, response, limits, memory);
  await nextPoll();
  if (isClientDisconnected(request)) return err(refusal('caller_gone', 'the caller disconnected'));
  if (body.isOk()) return ok(body.value);
  switch (body.error) {
    case 'too_large':
      return err(refusal('body_too_large', `body: is over ${limits.maxBodyBytes} bytes`));
    case 'timed_out':
      return err(refusal('request_timeout', 'body: did not arrive in time'));
    case 'no_memory':
      return err(
        refusal('memory_exhausted', 'the instance has no memory left', MEMORY_RETRY_AFTER_MS),
      );
    case 'aborted':
      return err(refusal('caller_gone', 'the caller disconnected'));
  }
}

/** Sends an answer to the caller; aborting the controller cancels the request at the agent. */
export type SendAnswer = (timer: RequestTimer, controller: AbortController) => Promise<RoutedEnd>;

/** Admits a request and serves it; resolves to a failure that the caller of this function must send. */
export async function admitAndServe(
  options: CallersApiOptions,
  exchange: CallerExchange,
  named: NamedClass,
  send: SendAnswer,
): Promise<Failure | undefined> {
  const {accountName, account} = exchange.caller;
  const timer = new RequestTimer(options.clock, options.metrics, named.name, named.requestClass);
  // The caller may disconnect while the entry that is the account's home is queried for permits.
  const controller = new AbortController();
  using disposables = new DisposableStore();
  const leaveListener = onClientDisconnect(exchange.request, () => {
    controller.abort();
  });
  disposables.add(leaveListener);
  const {tier} = named.requestClass;
  const admitted = await options.accountLimits.admit(accountName, account, tier);
  if (admitted.isErr()) {
    timer.finish('limited');
    return admitted.error;
  }
  disposables.add(admitted.value);
  if (controller.signal.aborted) {
    timer.finish('cancelled');
    return refusal('caller_gone', 'the caller disconnected');
  }
  options.metrics.inFlight.inc();
  let end: RoutedEnd;
  try {
    end = await send(timer, controller);
  } finally {
    options.metrics.inFlight.dec();
  }
  options.logger.info('request', {
    request: exchange.id,
    class: named.name,
    account: accountName,
    configuration: exchange.head.number,
    outcome: finishTimer(timer, end, exchange.response),
  });
  if (end.kind === 'whole' || exchange.response.headersSent) return undefined;
  return end.failure;
}

function finishTimer(
  timer: RequestTimer,
  end: RoutedEnd,
  {destroyed}: ServerResponse,
): RequestOutcome {
  if (end.kind === 'whole') return timer.finishSuccess();
  if (destroyed) return timer.finish('cancelled');
  return timer.finish(end.failure.ran === 'no' ? 'refused' : 'failed');
}

/** Content of a request to an agent: its task and the size of its prompt in tokens. */
export interface WorkContent {
  readonly task: Task;
  readonly promptTokens: number;
}

/** Creates the request to an agent; the budgets come from the latency objectives of the class. */
export function createWork(
  {incarnation}: CallersApiOptions,
  {id, caller, head}: CallerExchange,
  {name, requestClass}: NamedClass,
  {task, promptTokens}: WorkContent,
): WorkRequest {
  const {tier, firstTokenMs, completionMs, interTokenMs, typicalOutputTokens} = requestClass;
  return {
    id,
    entry: incarnation,
    account: caller.accountName,
    class: name,
    tier,
    firstTokenBudgetMs: firstTokenMs ?? completionMs ?? DEFAULT_FIRST_TOKEN_BUDGET_MS,
    interTokenTargetMs: interTokenMs,
    typicalOutputTokens,
    promptTokens,
    configuration: head.number,
    task,
  };
}
