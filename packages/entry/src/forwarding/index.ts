/** Forwards requests to endpoints by host and path. */
export {admit, type Admission, type Belief, type BeliefLimits, type Refusal} from './admission.js';
export {serveExchange} from './exchange.js';
export type {AnswerFacts, ForwardFormat, RequestFacts, SendFacts} from './forwardFormat.js';
export {ForwardMetrics} from './forwardMetrics.js';
export type {ForwardOptions} from './forwardOptions.js';
export {ForwardServer, type StopTimes} from './forwardServer.js';
export {
  type ForwardBounds,
  ForwardProcess,
  type ForwardProcessOptions,
  type ForwardSource,
} from './forwardProcess.js';
export {rankOf} from './routePolicy.js';
export {createHeaderFormat, type HeaderNames} from './headerFormat.js';
export {forwardHeaders, forwardKeys} from './ownFormat.js';
export {type ForwardSettings, forwardSettingsSchema} from './forwardSettings.js';
