/** The entry: the process that callers and operators connect to. */
export type {AgentClient, StartError, WithdrawalResult, WorkEvents} from './agentClient.js';
export type {RoutedAnswer, RoutedEnd, RoutedEvent} from './attempt.js';
export {
  RequestMetrics,
  type RequestOutcome,
  RequestTimer,
  requestOutcomes,
  requestsMetricName,
} from './requestMetrics.js';
export {classHeader} from './callerRequest.js';
export {type EntryProcess, type EntryProcessOptions, startEntry} from './entryProcess.js';
export {type ClaimManager, type ClaimQuery, createClaimManager} from './claimManager.js';
export {
  type ClaimPage,
  type ClaimView,
  claimPageSchema,
  claimViewSchema,
  type InstanceStatus,
  type OperatorError,
  type Preview,
  type Proposal,
  type SettlementRequest,
  type Status,
  operatorErrorSchema,
  previewSchema,
  proposalAnswerSchema,
  recordAnswerSchema,
  statusSchema,
} from './operatorMessages.js';
export {type RoutedRequest, Router, type RouterOptions} from './router.js';
export {type EntrySettings, entrySettingsSchema} from './settings.js';
export {
  type TicketManager,
  type TicketManagerOptions,
  createTicketManager,
} from './ticketManager.js';
export * from './forwarding/index.js';
