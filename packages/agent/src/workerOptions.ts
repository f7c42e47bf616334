/** Dependencies, timeouts and retention times of a worker. */
import type {Clock, Logger} from '@marigoldfold/runtime';
import type {CallRunner} from './callRunner.js';
import type {Engine} from './engine.js';
import type {GenerationTiming} from './generationRun.js';
import type {WorkQueue} from './workQueue.js';

/** Dependencies of a worker. Either `engine` or `calls` is set, by the type of the endpoint. */
export interface WorkerOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly queue: WorkQueue;
  readonly engine?: Engine;
  readonly calls?: CallRunner;
  /** Number of the configuration in force in this process. */
  readonly configurationNumber: () => number;
  readonly timing: WorkerTiming;
}

/** Durations of a worker in milliseconds. */
export interface WorkerTiming extends GenerationTiming {
  /** How long a request keeps running without a reader of its answer. */
  readonly detachedLimitMs: number;
  /** How long a finished answer is retained. */
  readonly answerRetentionMs: number;
  /** How long the id of an ended or withdrawn request is retained; exceeds the maximum delay of a message. */
  readonly endedIdRetentionMs: number;
  /** Delay between announcing the drain and refusing new work. */
  readonly drainGraceMs: number;
}

/** Default durations; the settings of an agent override some of them. */
export const defaultWorkerTiming: WorkerTiming = {
  detachedLimitMs: 10_000,
  answerRetentionMs: 30_000,
  endedIdRetentionMs: 3_600_000,
  firstTokenLimitMs: 120_000,
  silenceLimitMs: 30_000,
  drainGraceMs: 2000,
};
