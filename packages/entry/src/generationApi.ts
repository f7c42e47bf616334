/** Serves generations, streamed and unstreamed. */
import {type Failure, createFailureBody, createFailure, refusal} from '@marigoldfold/protocol';
import {waitForDrain, formatEvent, openEventStream, sendJson} from '@marigoldfold/transport';
import type {RequestTimer} from './requestMetrics.js';
import {
  admitAndServe,
  type CallersApiOptions,
  createWork,
  type CallerExchange,
  readRequestBody,
  listUsableSets,
} from './callerExchange.js';
import {type GenerationRequest, readGeneration, resolveClass} from './callerRequest.js';
import {CompletionAssembly} from './completionAssembly.js';
import type {RoutedAnswer, RoutedEnd} from './attempt.js';
import type {RoutedRequest} from './router.js';

const OK = 200;

/** Serves a generation; resolves to a failure that the caller of this function must send. */
export async function serveGeneration(
  options: CallersApiOptions,
  exchange: CallerExchange,
  path: string,
): Promise<Failure | undefined> {
  const body = await readRequestBody(options, exchange);
  if (body.isErr()) return body.error;
  const parsed = readGeneration(path, body.value);
  if (parsed.isErr()) return parsed.error;
  const generation = parsed.value;
  const {configuration} = exchange.head;
  const named = resolveClass(configuration, exchange.caller, exchange.request.headers);
  if (named.isErr()) return named.error;
  const {model} = generation.generation;
  const sets = listUsableSets(configuration, named.value.name);
  if (!sets.some((set) => set.models.includes(model))) {
    const message = `model: class ${named.value.name} has no endpoints with model ${model}`;
    return refusal('unknown_model', message);
  }
  return admitAndServe(options, exchange, named.value, (timer, controller) => {
    const routed: RoutedRequest = {
      work: createWork(options, exchange, named.value, {
        task: generation.generation,
        promptTokens: generation.promptTokens,
      }),
      criteria: {
        requestClass: named.value.requestClass,
        tier: named.value.requestClass.tier,
        target: {kind: 'model', model},
        prefixKey: generation.prefixKey,
      },
    };
    const answer = options.router.route(routed, controller.signal);
    return generation.isStreamed
      ? sendStream(options, exchange, answer, timer)
      : sendAssembled(exchange, generation, answer, timer, controller);
  });
}

async function sendStream(
  {limits}: CallersApiOptions,
  {id, response}: CallerExchange,
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
        response.end(formatEvent({data: JSON.stringify(createFailureBody(value.failure, id))}));
      }
      return value;
    }
    if (value.kind !== 'chunk') continue;
    timer.observeChunk();
    if (!response.headersSent) openEventStream(response);
    response.write(formatEvent({data: value.data}));
    if (response.writableNeedDrain) {
      await waitForDrain(response, {stalledTimeoutMs: limits.stalledReaderTimeoutMs});
    }
  }
}

async function sendAssembled(
  {response}: CallerExchange,
  {isChat}: GenerationRequest,
  answer: RoutedAnswer,
  timer: RequestTimer,
  controller: AbortController,
): Promise<RoutedEnd> {
  const assembly = new CompletionAssembly(isChat);
  let isReadable = true;
  while (true) {
    const {done, value} = await answer.next();
    if (done === true) {
      if (!isReadable) return unreadableAnswer;
      if (value.kind === 'whole') sendJson(response, OK, assembly.build());
      return value;
    }
    if (value.kind !== 'chunk' || !isReadable) continue;
    timer.observeChunk();
    if (assembly.add(value.data)) continue;
    // The answer cannot be completed without this chunk, so the request is cancelled at the agent.
    isReadable = false;
    controller.abort();
  }
}

const unreadableAnswer: RoutedEnd = {
  kind: 'failed',
  failure: createFailure(
    'started',
    'answer_incomplete',
    'the engine sent a chunk of the answer that cannot be parsed',
  ),
};
