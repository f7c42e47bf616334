/** Runs one generation on an engine: through pauses, breaks and silence, to a whole answer or a failure. */
import {type Clock, isAborted, sleep} from '@marigoldfold/runtime';
import {type Failure, failureWith, type Generation, ranBy, type Work} from '@marigoldfold/protocol';
import type {Answer} from './answer.js';
import type {Engine, EngineChunk, EngineEnd, EngineStream} from './engine.js';

/** Durations in milliseconds. */
export interface GenerationTiming {
  /** How long an engine may take until the first chunk of a stream. */
  readonly firstTokenLimitMs: number;
  /** How long an engine may be silent between two chunks. */
  readonly silenceLimitMs: number;
}

/** What a run needs. */
export interface GenerationRunOptions {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly work: Work;
  readonly generation: Generation;
  readonly answer: Answer;
  readonly timing: GenerationTiming;
  /** Aborted when nobody wants the answer any more. */
  readonly signal: AbortSignal;
  /** Takes the action that pauses the stream. */
  readonly setPauseHandler: (pause: (() => void) | undefined) => void;
  /** Called for each new chunk of the engine. */
  readonly observeChunk: () => void;
  /** Called when a wait for a slow reader stands between two chunks. */
  readonly ignoreNextGap: () => void;
  /** Gives the place at the engine up and waits for the next one; a failure when there is none. */
  readonly waitForTurn: () => Promise<Failure | undefined>;
}

const MAX_FAILED_STREAMS = 3;
const RETRY_MS = 200;

/** Why work is stopped: its caller has gone, or no entry reads its answer. */
export type StopReason = 'caller_gone' | 'answer_incomplete';

/** What is said when work is stopped. */
export const stopMessages: Readonly<Record<StopReason, string>> = {
  caller_gone: 'the caller has gone',
  answer_incomplete: 'nobody read the answer for too long',
};

function stopReason(signal: AbortSignal): StopReason {
  const reason: unknown = signal.reason;
  return reason === 'answer_incomplete' ? reason : 'caller_gone';
}

const CONFLICT = 409;
const CLIENT_ERROR = {first: 400, last: 499} as const;

/** What is known of the engine's part so far. */
interface Progress {
  hasBegun: boolean;
  /** Whether the engine may have received the request. */
  mayHaveBeenSent: boolean;
  failedStreams: number;
}

/** Runs a generation; resolves to a failure when there is no whole answer. */
export async function runGeneration(options: GenerationRunOptions): Promise<Failure | undefined> {
  const {clock, engine, work, answer, signal} = options;
  const progress: Progress = {hasBegun: false, mayHaveBeenSent: false, failedStreams: 0};
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
      // After a break the engine may have had the request all along.
      if (end.status !== CONFLICT || progress.failedStreams === 0)
        return describeRefusal(end, answer);
      progress.hasBegun = true;
    }
    if (end.kind === 'unreadable') return cancelAndFail(options, 'endpoint_failed', end.message);
    if (end.kind === 'silent' && progress.failedStreams > 0) {
      return cancelAndFail(
        options,
        'timed_out',
        'the engine gave no part of the answer for too long',
      );
    }
    if (end.kind === 'unknown') {
      if (answer.chunkCount > 0) break;
      progress.hasBegun = false;
    }
    if (isAborted(pauseController.signal) && !isAborted(signal)) {
      const refused = await options.waitForTurn();
      if (refused !== undefined) {
        await engine.cancel(work.id);
        return {...refused, ran: ranBy('started')};
      }
      continue;
    }
    progress.failedStreams += 1;
    if (progress.failedStreams > MAX_FAILED_STREAMS) break;
    await sleep(clock, RETRY_MS, signal);
  }
  options.setPauseHandler(undefined);
  if (!progress.mayHaveBeenSent) {
    return signal.aborted
      ? failureWith('not-sent', stopReason(signal), stopMessages[stopReason(signal)])
      : failureWith('not-sent', 'endpoint_unreachable', 'the engine cannot be reached');
  }
  if (signal.aborted) {
    return cancelAndFail(options, stopReason(signal), stopMessages[stopReason(signal)]);
  }
  return cancelAndFail(options, 'endpoint_failed', 'the engine stopped in mid-answer');
}

async function runStream(
  options: GenerationRunOptions,
  progress: Progress,
  paused: AbortSignal,
): Promise<EngineEnd> {
  const {engine, work, generation, answer} = options;
  const silence = new AbortController();
  const signal = AbortSignal.any([paused, options.signal, silence.signal]);
  const stream = progress.hasBegun
    ? engine.resume(work.id, answer.chunkCount, signal)
    : engine.begin({id: work.id, priority: work.tier, generation}, signal);
  const end = await copyChunks(options, stream, silence);
  if (end.kind !== 'broken' || end.mayHaveBeenSent) {
    progress.hasBegun = true;
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
    // A chunk that came before is a repetition after a resume; a gap means that one was lost.
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

/** The next chunk; when it takes too long, the stream is aborted by `silence`. */
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
  return failureWith(answer.chunkCount > 0 ? 'started' : 'no-answer', code, message);
}

function describeRefusal(
  {status, message}: Extract<EngineEnd, {kind: 'refused'}>,
  answer: Answer,
): Failure {
  const text = `the engine answered ${status}: ${message}`;
  if (answer.chunkCount > 0) return failureWith('started', 'endpoint_failed', text);
  if (status >= CLIENT_ERROR.first && status <= CLIENT_ERROR.last) {
    return failureWith('refused', 'bad_request', text);
  }
  return failureWith('no-answer', 'endpoint_failed', text);
}
