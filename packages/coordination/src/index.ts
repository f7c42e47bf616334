/** Coordination between processes: configuration, membership, endpoint selection and account limits. */
export {AccountHome, type AccountHomeOptions} from './accountHome.js';
export {AccountLimits, type AccountLimitsOptions} from './accountLimits.js';
export {EntryDirectory} from './entryDirectory.js';
export type {GrantCall} from './grantBatcher.js';
export {ConfigurationFeed, type ConfigurationFeedOptions} from './configurationFeed.js';
export {type Candidate, type EndpointCriteria, type RoutingTarget} from './candidates.js';
export {ClassBaseline} from './classBaseline.js';
export {
  type SelectionMechanisms,
  EndpointSelector,
  type EndpointSelectorOptions,
} from './endpointSelector.js';
export type {TrackedRequest} from './endpointState.js';
export type {Probe} from './loadProbes.js';
export {prefixKeyOf} from './prefixAffinity.js';
export {type EntryLocation, chooseSubset, DEFAULT_SUBSET_SIZE} from './subset.js';
export {hash64} from './hash.js';
export {InstanceFeed, type InstanceFeedOptions} from './instanceFeed.js';
export {applyDelta, diffInstances, digestInstances} from './instanceList.js';
export {type InstanceSource, createInstanceSource, parseTargetGroups} from './instanceSource.js';
export {
  type PeerError,
  type PeerOf,
  type PulledTickets,
  type SnapshotPage,
  type SnapshotRequest,
  type GossipPeer,
  type GossipService,
  addGossipMethods,
  createGossipPeer,
  pullMethod,
  pulledTicketsSchema,
  snapshotMethod,
  snapshotPageSchema,
} from './spread/peer.js';
export {
  type Locality,
  type Neighbourhood,
  computeConfirmationAgeLimitMs,
  findNeighbourhood,
  isWatcher,
} from './spread/neighbourhood.js';
export {Gossip, type GossipOptions} from './spread/gossip.js';
export {PeerConnections} from './spread/peerConnections.js';
export {rankMembers} from './rendezvous.js';
export {RecentSamples} from './recentSamples.js';
export {
  type Secrets,
  addressSchema,
  limitsSchema,
  logSchema,
  platformSchema,
  processSchema,
  readSecrets,
  secretsSchema,
} from './processSettings.js';
export {
  type ProcessMetricsOptions,
  addConnectionMetrics,
  createProcessRegistry,
} from './processMetrics.js';
export {RetryBudget} from './retryBudget.js';
export {
  type LoadedSettings,
  type SignalSource,
  drainOnSignal,
  loadProcessSettings,
} from './processCommand.js';
export {
  type Membership,
  type MembershipOptions,
  createMembership,
  computeListAgeLimitMs,
} from './spread/membership.js';
export {
  LeaderLease,
  type LeaderHold,
  type LeaderLeaseOptions,
  type LeaseHolder,
  parseLeaseHolder,
} from './duties/leaderLease.js';
export {boundId} from './forwarding/boundedId.js';
export type {PlacementRequest, PromptPart, PromptSize} from './forwarding/placementRequest.js';
export {
  type DispatchOutcome,
  DispatchQueue,
  type DispatchQueueOptions,
} from './forwarding/dispatchQueue.js';
export type {Endpoint} from './forwarding/endpoint.js';
export {EndpointPermits} from './forwarding/endpointPermits.js';
export {EndpointRegistry} from './forwarding/endpointRegistry.js';
export type {InFlightRequest} from './forwarding/inFlightRequest.js';
export type {LoadReport} from './forwarding/loadReport.js';
export {PeerChannel} from './forwarding/peerChannel.js';
export {PEER_LEASE_MS, PeerRegistration} from './forwarding/peerRegistration.js';
export {type PeerPublisher, Placement} from './forwarding/placement.js';
export {encodeUpdate} from './forwarding/peerDatagrams.js';
export {emptyUpdate, type PeerUpdate} from './forwarding/peerMessages.js';
export {
  type EndpointCrash,
  PromptQuarantine,
  sharedPartIds,
} from './forwarding/promptQuarantine.js';
export {QuarantineRecords} from './forwarding/quarantineRecords.js';
export {type ChangeOrigin, RangeMirror, type RangeMirrorOptions} from './forwarding/rangeMirror.js';
export {
  WindowedRetryBudget,
  type WindowedRetryBudgetBounds,
} from './forwarding/windowedRetryBudget.js';
export {UsageCounter, type UsageCounts} from './duties/usageCounter.js';
export {UsageDuty, type UsageDutyOptions} from './duties/usageDuty.js';
export type {DutyHold, ReportOutcome, ReportTotals, UsageReport} from './duties/usageReporter.js';
export type {UsageStatement} from './duties/usageStatement.js';
