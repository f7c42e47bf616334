/** The process that callers and operators connect to. */
export type {AgentLink, StartError, WorkEvents} from './agentLink.js';
export {
  RequestMetrics,
  type RequestOutcome,
  RequestTimer,
  requestOutcomes,
  requestsMetric,
} from './attainment.js';
export {classHeader} from './callerRequest.js';
export {type EntryProcess, type EntryProcessOptions, startEntry} from './entryProcess.js';
export {
  type InstanceStatus,
  type OperatorError,
  type Proposal,
  type Status,
  operatorErrorSchema,
  proposalAnswerSchema,
  recordAnswerSchema,
  statusSchema,
} from './operatorMessages.js';
export {
  type RoutedAnswer,
  type RoutedEnd,
  type RoutedEvent,
  type RoutedRequest,
  Router,
  type RouterOptions,
} from './router.js';
export {type EntrySettings, entrySettingsSchema} from './settings.js';
export {type TicketDesk, openTicketDesk} from './ticketDesk.js';
