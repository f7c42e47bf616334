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
export {createIncarnation, incarnationHeader, requestIds} from './identity.js';
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
export type {Method} from './method.js';
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
