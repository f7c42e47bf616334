/** The agent: the process beside each endpoint that queues and runs its requests. */
export {type AgentProcess, type AgentProcessOptions, startAgent} from './agentProcess.js';
export {Answer} from './answer.js';
export {CallRunner, type CallRunnerOptions, claimSendLimitMs} from './callRunner.js';
export type {Engine, EngineChunk, EngineEnd, EngineJob, EngineStream} from './engine.js';
export {EndedRequests} from './endedRequests.js';
export {type GenerationTiming} from './generationRun.js';
export {createHttpEngine} from './httpEngine.js';
export {
  type CallFailure,
  type PlainService,
  createHttpService,
  selectEndToEndHeaders,
} from './plainService.js';
export {type AgentSettings, agentSettingsSchema} from './settings.js';
export {Worker} from './worker.js';
export {type WorkerOptions, type WorkerTiming, defaultWorkerTiming} from './workerOptions.js';
export {type TierShares, computeTierShares} from './minimumShares.js';
export type {QueueItem} from './scheduledRequest.js';
export {type QueueTuning, defaultQueueTuning} from './queueTuning.js';
export {
  type SchedulingDirective,
  type QueueLoad,
  WorkQueue,
  type WorkQueueOptions,
} from './workQueue.js';
