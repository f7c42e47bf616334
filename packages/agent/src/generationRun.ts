/** Runs one generation on an engine, resuming it after pauses, broken streams and timeouts. */
import {type Clock, isAborted, sleep} from '@marigoldfold/runtime';
import {
  type Failure,
  createFailure,
  type Generation,
  ranFromEvidence,
  type WorkRequest,
} from '@marigoldfold/protocol';
import type {Answer} from './answer.js';
import type {Engine, EngineChunk, EngineEnd, EngineStream} from './engine.js';

/** Timeouts of an engine stream in milliseconds. */
export interface GenerationTiming {
  /** Timeout of the first chunk of a stream. */
  readonly firstTokenLimitMs: number;
  /** Timeout between two chunks. */
  readonly silenceLimitMs: number;
}

/** Dependencies and callbacks of {@link runGeneration}. */
export interface GenerationRunOptions {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly work: WorkRequest;
  readonly generation: Generation;
  readonly answer: Answer;
  readonly timing: GenerationTiming;
  /** Aborted with a {@link StopReason} when the answer is no longer needed. */
  readonly signal: AbortSignal;
  /** Receives the function that pauses the current stream. */
  readonly setPauseHandler: (pause: (() => void) | undefined) => void;
  /** Called for each new chunk from the engine. */
  readonly observeChunk: () => void;
  /** Called when a slow reader delayed the next chunk. */
  readonly ignoreNextGap: () => void;
  /** Releases the slot and waits for another one; resolves to a failure when the request is refused instead. */
  readonly waitForTurn: () => Promise<Failure | undefined>;
}

const MAX_FAILED_STREAMS = 3;
const RETRY_DELAY_MS = 200;

/** Why a request is stopped: its caller disconnected, or no entry reads its answer. */
export type StopReason = 'caller_gone' | 'answer_incomplete';

/** Failure message for each stop reason. */
export const stopMessages: Readonly<Record<StopReason, string>> = {
  caller_gone: 'the caller disconnected',
  answer_incomplete: 'the answer had no reader for too long',
};

function stopReason(signal: AbortSignal): StopReason {
  const reason: unknown = signal.reason;
  return reason === 'answer_incomplete' ? reason : 'caller_gone';
}

const CONFLICT = 409;
const CLIENT_ERROR = {first: 400, last: 499} as const;

/** State of the generation across its engine streams. */
interface Progress {
  hasStarted: boolean;
  /** Whether the engine may have received the request. */
  mayHaveBeenSent: boolean;
  failedStreams: number;
}

/** Runs a generation; resolves to undefined when the answer is complete, else to a failure. */
export async function runGeneration(options: GenerationRunOptions): Promise<Failure | undefined> {
  const {clock, engine, work, answer, signal} = options;
  const progress: Progress = {hasStarted: false, mayHaveBeenSent: false, failedStreams: 0};
  while (!signal.aborted) {
    const pauseController = new AbortController();
    options.setPauseHandler(() => {
      pauseController.abort();
    });
    const chunksBefore = answer.chunkCount;
    const end = await runStream(options, progress, pauseController.signal);
    if (answer.chunkCount > chunksBefore) progress.failedStreams = 0;
    if (end.kind === 'whole') return undefined;
    if (end.kind === 'refused') {
      // After a broken stream, a conflict means that the engine already has the request.
      if (end.status !== CONFLICT || progress.failedStreams === 0)
        return describeRefusal(end, answer);
      progress.hasStarted = true;
    }
    if (end.kind === 'unreadable') return cancelAndFail(options, 'endpoint_failed', end.message);
    if (end.kind === 'silent' && progress.failedStreams > 0) {
      return cancelAndFail(options, 'timed_out', 'the engine sent no chunk within the timeout');
    }
    if (end.kind === 'unknown') {
      if (answer.chunkCount > 0) break;
      progress.hasStarted = false;
    }
    if (isAborted(pauseController.signal) && !isAborted(signal)) {
      const refusedTurn = await options.waitForTurn();
      if (refusedTurn !== undefined) {
        await engine.cancel(work.id);
        return {...refusedTurn, ran: ranFromEvidence('started')};
      }
      continue;
    }
    progress.failedStreams += 1;
    if (progress.failedStreams > MAX_FAILED_STREAMS) break;
    await sleep(clock, RETRY_DELAY_MS, signal);
  }
  options.setPauseHandler(undefined);
  if (!progress.mayHaveBeenSent) {
    return signal.aborted
      ? createFailure('not-sent', stopReason(signal), stopMessages[stopReason(signal)])
      : createFailure('not-sent', 'endpoint_unreachable', 'the engine is unreachable');
  }
  if (signal.aborted) {
    return cancelAndFail(options, stopReason(signal), stopMessages[stopReason(signal)]);
  }
  return cancelAndFail(options, 'endpoint_failed', 'the engine did not complete the answer');
}

async function runStream(
  options: GenerationRunOptions,
  progress: Progress,
  paused: AbortSignal,
): Promise<EngineEnd> {
  const {engine, work, generation, answer} = options;
  const silence = new AbortController();
  const signal = AbortSignal.any([paused, options.signal, silence.signal]);
  const stream = progress.hasStarted
    ? engine.resume(work.id, answer.chunkCount, signal)
    : engine.begin({id: work.id, priority: work.tier, generation}, signal);
  const end = await copyChunks(options, stream, silence);
  if (end.kind !== 'broken' || end.mayHaveBeenSent) {
    progress.hasStarted = true;
    progress.mayHaveBeenSent = true;
  }
  return end;
}

async function copyChunks(
  options: GenerationRunOptions,
  stream: EngineStream,
  silence: AbortController,
): Promise<EngineEnd> {
  const {answer, signal, timing} = options;
  let limitMs = timing.firstTokenLimitMs;
  while (true) {
    const next = await nextWithin(options.clock, stream, limitMs, silence);
    if (silence.signal.aborted) return {kind: 'silent'};
    if (next.done === true) return next.value;
    const chunk = next.value;
    limitMs = timing.silenceLimitMs;
    // After a resume the engine may repeat chunks; a gap in the chunk numbers means a lost chunk.
    if (chunk.number <= answer.chunkCount) continue;
    if (chunk.number > answer.chunkCount + 1) {
      await stream.return({kind: 'broken', mayHaveBeenSent: true});
      return {kind: 'broken', mayHaveBeenSent: true};
    }
    options.observeChunk();
    const publishedAtMs = options.clock.now();
    await answer.publishChunk(chunk.data, signal);
    if (options.clock.now() > publishedAtMs) options.ignoreNextGap();
  }
}

/** Reads the next chunk; aborts `silence`, and with it the stream, on a timeout. */
async function nextWithin(
  clock: Clock,
  stream: EngineStream,
  limitMs: number,
  silence: AbortController,
): Promise<IteratorResult<EngineChunk, EngineEnd>> {
  const timer = clock.schedule(limitMs, () => {
    silence.abort();
  });
  const next = await stream.next();
  timer[Symbol.dispose]();
  return next;
}

async function cancelAndFail(
  {engine, work, answer}: GenerationRunOptions,
  code: Failure['code'],
  message: string,
): Promise<Failure> {
  await engine.cancel(work.id);
  return createFailure(answer.chunkCount > 0 ? 'started' : 'no-answer', code, message);
}

function describeRefusal(
  {status, message}: Extract<EngineEnd, {kind: 'refused'}>,
  answer: Answer,
): Failure {
  const detail = `the engine answered ${status}: ${message}`;
  if (answer.chunkCount > 0) return createFailure('started', 'endpoint_failed', detail);
  if (status >= CLIENT_ERROR.first && status <= CLIENT_ERROR.last) {
    return createFailure('refused', 'bad_request', detail);
  }
  return createFailure('no-answer', 'endpoint_failed', detail);
}
