/** Persistent state: the record of tickets, the configuration, claims, and the key-value client. */
export {
  type MonitorKeyPair,
  generateMonitorKey,
  isSignedBy,
  signDecision,
} from './decisionSigning.js';
export {
  type ChainError,
  type ChainHead,
  advanceHead,
  applyTicketChanges,
  findConflict,
  createInitialHead,
  monitorObjectName,
} from './chain.js';
export {
  type CallOutcome,
  type Claim,
  type ClaimError,
  type ClaimKey,
  type ClaimResult,
  type VersionedClaim,
  type Settlement,
  computeCallDigest,
  claimCall,
  claimPath,
  claimPrefix,
  claimSchema,
  readClaim,
  recordOutcome,
  releaseClaim,
  settlementSchema,
  takeOverClaim,
} from './claims.js';
export {
  type Change,
  type Removal,
  type ShardContent,
  type StoredObject,
  Configuration,
  objectKey,
  removalRetentionTickets,
  shardCount,
} from './configuration.js';
export {type Digest, canonicalJson, digestText, digestValue, zeroDigest} from './digest.js';
export {endpointAddressSchema} from './routing/endpointAddress.js';
export {
  countSchema,
  durationSchema,
  isCount,
  MAX_COUNT,
  MAX_DURATION_MS,
  messageDurationSchema,
  timeSchema,
} from './routing/quantities.js';
export {type EtcdOptions, createEtcdKeyValue} from './etcdKeyValue.js';
export {decodeText, encodeText, etcdPaths} from './etcdMessages.js';
export type {
  KeyValue,
  KeyValueEntry,
  Listing,
  ListOptions,
  StoreError,
  WatchOptions,
  WriteOptions,
  WriteOutcome,
} from './keyValue.js';
export {
  type Account,
  type Endpoint,
  type EndpointSet,
  type Kind,
  type ObjectState,
  type RequestClass,
  kinds,
  objectSchemas,
} from './objects.js';
export type {RecordError} from './createOnce.js';
export {
  type CheckFailure,
  type FieldDifference,
  checkConfiguration,
  compareFields,
  findNewFailures,
} from './configurationCheck.js';
export {
  type RecordPage,
  type TicketRecord,
  type UnreadableEntry,
  type ValidityCheck,
  decidedTickets,
  decisionKey,
  decisionPrefix,
  isSameSubmission,
  isSameVerdict,
  openRecord,
  ticketKey,
  ticketPrefix,
} from './record.js';
export {
  type RecordViolation,
  type ReplayResult,
  isNextTicket,
  findLinkedTickets,
  replayRecord,
} from './replay.js';
export {
  type DecidedTicket,
  type Decision,
  type Draft,
  type Ticket,
  type UnsignedDecision,
  decidedTicketSchema,
  decisionSchema,
  draftSchema,
  maxTicketBytes,
  measureTicketBytes,
  ticketDigest,
  ticketSchema,
} from './ticket.js';
export {type DecisionOptions, decideTicket} from './decide.js';
export {
  type Snapshot,
  type SnapshotProof,
  verifySnapshot,
  findNewMonitorKey,
  shardContentSchema,
  snapshotProofSchema,
} from './snapshot.js';
export {
  type ArchiveManifest,
  type VersionedManifest,
  selectSegmentTickets,
  groupShards,
  maxSegmentTickets,
  maxValueBytes,
  readManifest,
  readSegments,
  readSnapshot,
  removeEntries,
  removeSnapshot,
  writeManifest,
  writeSegment,
  writeSnapshot,
} from './recordArchive.js';
export type {
  ClientLimits,
  Engine,
  RequestKind,
  Route,
  RoutedAccount,
  RoutingConfiguration,
  Service,
  ServiceShare,
} from './routing/routingConfiguration.js';
export type {EndpointRecord} from './routing/endpointRecord.js';
export {RoutingTable} from './routing/routingTable.js';
export {
  type Revision,
  type RevisionCondition,
  eraOfCondition,
  isLater,
  numberOfCondition,
} from './revision.js';
export {decodeLease, encodeLease, StoreEra} from './storeEra.js';
