/** The forwarding router, which routes requests to endpoints by host and path. */
export {
  resolveAdmission,
  type Admission,
  type ConfigurationState,
  type ConfigurationAgeLimits,
  type Refusal,
} from './admission.js';
export {serveExchange} from './exchange.js';
export type {
  ResponseMetadata,
  MetadataCodec,
  RequestMetadata,
  AttemptMetadata,
} from './metadataCodec.js';
export {ForwardMetrics} from './forwardMetrics.js';
export type {ForwardOptions} from './forwardOptions.js';
export {ForwardServer, type StopTimeouts} from './forwardServer.js';
export type {ForwardDutyOptions} from './forwardDuties.js';
export {ForwardProcess} from './forwardProcess.js';
export type {ForwardProcessOptions} from './forwardProcessOptions.js';
export type {ProcessLimits} from './forwardMemory.js';
export {computeQueueRank} from './routePolicy.js';
export {createHeaderCodec, type HeaderNames} from './headerCodec.js';
export {forwardHeaders, forwardKeys} from './standaloneDefaults.js';
export {type ForwardSettings, forwardSettingsSchema} from './forwardSettings.js';
export type {ForwardBounds, ForwardSource} from './forwardSource.js';
