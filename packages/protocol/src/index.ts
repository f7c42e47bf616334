/** Message schemas, identifiers and failures shared by entries and agents. */
export {type Evidence, createFailure, ranFromEvidence, combineRan} from './evidence.js';
export {
  type Failure,
  type FailureBody,
  type FailureCode,
  type Ran,
  createFailureBody,
  failureSchema,
  failureStatus,
  ranSchema,
  refusal,
} from './failure.js';
export {
  type AccountGrantRequest,
  type AccountGrant,
  accountGrantRequestSchema,
  accountGrantMethod,
  accountGrantSchema,
  compactGrantRequest,
  compactGrant,
} from './accountMessages.js';
export {
  createIncarnation,
  incarnationHeader,
  movedRequestId,
  originalRequestId,
  createRequestIdGenerator,
} from './identity.js';
export {
  type ServerSentEvent,
  stateEventName,
  workRejectionSchema,
  decodeWorkEvent,
  encodeWorkEvent,
  isFinalEvent,
  type WorkRejection,
} from './workStream.js';
export {type Instance, type InstanceList, instanceSchema} from './instance.js';
export {type Load, compactLoad, encodeLoad, loadSchema} from './load.js';
export {
  type WithdrawalOutcome,
  acknowledgeMethod,
  cancelMethod,
  probeMethod,
  withdrawMethod,
  withdrawalOutcomeSchema,
} from './rpc.js';
export {type Method, defineMethod} from './method.js';
export {type Tier, tierCount, tierSchema} from './tier.js';
export {
  type Call,
  type Generation,
  type Task,
  type WorkRequest,
  type WorkEvent,
  workEventSchema,
  workRequestSchema,
} from './work.js';
export {
  type ConfigurationStatus,
  type InstanceListDelta,
  type StateSummary,
  configurationStatusMethod,
  configurationStatusSchema,
  gossipExchangeMethod,
  instanceListDeltaSchema,
  instanceListMethod,
  stateSummarySchema,
} from './gossipMessages.js';
