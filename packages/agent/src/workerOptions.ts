/** What a worker needs, and how long it waits for what. */
import type {Clock, Logger} from '@marigoldfold/runtime';
import type {CallRunner} from './callRunner.js';
import type {Engine} from './engine.js';
import type {GenerationTiming} from './generationRun.js';
import type {WorkQueue} from './workQueue.js';

/** What a worker needs. An endpoint is either an engine or a plain service. */
export interface WorkerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly queue: WorkQueue;
  readonly engine?: Engine;
  readonly calls?: CallRunner;
  /** Number of the configuration in force here. */
  readonly configurationNumber: () => number;
  readonly timing: WorkerTiming;
}

/** Durations in milliseconds. */
export interface WorkerTiming extends GenerationTiming {
  /** How long work goes on without a reader. */
  readonly detachedLimitMs: number;
  /** How long a finished answer is kept. */
  readonly answerRetentionMs: number;
  /** How long the id of an ended or withdrawn request is remembered; longer than any message can be late. */
  readonly endedIdRetentionMs: number;
  /** Between announcing that the endpoint leaves and refusing new work. */
  readonly drainGraceMs: number;
}

/** Usual durations. */
export const defaultWorkerTiming: WorkerTiming = {
  detachedLimitMs: 10_000,
  answerRetentionMs: 30_000,
  endedIdRetentionMs: 3_600_000,
  firstTokenLimitMs: 120_000,
  silenceLimitMs: 30_000,
  drainGraceMs: 2000,
};
