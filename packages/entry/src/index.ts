/** The process that callers and operators connect to. */
export type {AgentLink, StartError, WithdrawalAnswer, WorkEvents} from './agentLink.js';
export type {RoutedAnswer, RoutedEnd, RoutedEvent} from './attempt.js';
export {
  RequestMetrics,
  type RequestOutcome,
  RequestTimer,
  requestOutcomes,
  requestsMetric,
} from './attainment.js';
export {classHeader} from './callerRequest.js';
export {type EntryProcess, type EntryProcessOptions, startEntry} from './entryProcess.js';
export {type ClaimDesk, type ClaimQuery, openClaimDesk} from './claimDesk.js';
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
export {type TicketDesk, type TicketDeskOptions, openTicketDesk} from './ticketDesk.js';
export * from './forwarding/index.js';
