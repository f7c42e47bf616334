/** Typed messages, identities and failures that the processes share. */
export {type Evidence, failureWith, ranBy, ranByAny} from './evidence.js';
export {
  type Failure,
  type FailureBody,
  type FailureCode,
  type Ran,
  failureBody,
  failureSchema,
  failureStatus,
  ranSchema,
  refusal,
} from './failure.js';
export {
  type AccountAsk,
  type AccountGrant,
  accountAskSchema,
  accountGrantMethod,
  accountGrantSchema,
  compactAsk,
  compactGrant,
} from './accountMessages.js';
export {createIncarnation, incarnationHeader, movedId, originalId, requestIds} from './identity.js';
export {
  type AnswerEvent,
  answerEventName,
  failedStartSchema,
  decodeWorkEvent,
  encodeWorkEvent,
  type FailedStart,
} from './workStream.js';
export {type Instance, type InstanceList, instanceSchema} from './instance.js';
export {type Load, compactLoad, encodeLoad, loadSchema} from './load.js';
export {
  type Withdrawal,
  acknowledgeMethod,
  cancelMethod,
  probeMethod,
  withdrawMethod,
  withdrawalSchema,
} from './rpc.js';
export {type Method, method} from './method.js';
export {type Tier, tierCount, tierSchema} from './tier.js';
export {
  type Call,
  type Generation,
  type Task,
  type Work,
  type WorkEvent,
  workEventSchema,
  workSchema,
} from './work.js';
export {
  type ConfigurationStatus,
  type ListDelta,
  type Summary,
  configurationStatusMethod,
  configurationStatusSchema,
  exchangeMethod,
  listDeltaSchema,
  listMethod,
  summarySchema,
} from './spread.js';
