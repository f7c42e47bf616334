/** Connects a process to the cluster by configuration feed, instance feed and gossip; used by entry and agent. */
import {configurationStatusMethod, type Instance} from '@marigoldfold/protocol';
import {type Clock, DisposableStore, type Logger, type Random} from '@marigoldfold/runtime';
import {type KeyValue, openRecord, type TicketRecord} from '@marigoldfold/state';
import type {ClusterKey, HttpClient, RpcMethods} from '@marigoldfold/transport';
import {ConfigurationFeed} from '../configurationFeed.js';
import {InstanceFeed} from '../instanceFeed.js';
import {createInstanceSource} from '../instanceSource.js';
import {
  computeConfirmationAgeLimitMs,
  findNeighbourhood,
  isWatcher,
  type Locality,
} from './neighbourhood.js';
import {addGossipMethods} from './peer.js';
import {Gossip} from './gossip.js';
import {PeerConnections} from './peerConnections.js';

/** Identity, verification key and platform addresses that a membership needs. */
export interface MembershipOptions {
  readonly self: Locality;
  readonly store: KeyValue;
  readonly client: HttpClient;
  readonly clusterKey: ClusterKey;
  /** Public key of the monitor, which verifies the first ticket. */
  readonly monitorKey: string;
  readonly platform: {
    /** Address (`host:port`) of the platform's list of instances. */
    readonly instances: string;
    readonly instancesIntervalMs: number;
  };
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** Components through which a process takes part in the cluster. */
export interface Membership extends Disposable {
  readonly record: TicketRecord;
  readonly feed: ConfigurationFeed;
  readonly instances: InstanceFeed;
  readonly gossip: Gossip;
  readonly peers: PeerConnections;
  /** Adds the control methods that peers call on this process. */
  addMethods(methods: RpcMethods): RpcMethods;
  /** Starts gossip and reads the list of instances. */
  start(): Promise<void>;
}

/** Creates the components of a membership; nothing is read or sent before `start` is called. */
export function createMembership(options: MembershipOptions): Membership {
  const {self, store, client, clusterKey, monitorKey, platform, clock, random, logger} = options;
  const disposables = new DisposableStore();
  const record = openRecord(store);
  const feed = disposables.add(new ConfigurationFeed({monitorKey, clock, logger}));
  const instances: InstanceFeed = disposables.add(
    new InstanceFeed({
      source: createInstanceSource(client, platform.instances),
      clock,
      logger,
      intervalMs: platform.instancesIntervalMs,
      maxAgeMs: (): number =>
        computeListAgeLimitMs(instances.list.instances, self, platform.instancesIntervalMs),
    }),
  );
  const peers = disposables.add(new PeerConnections(clusterKey));
  const peerOf = (instance: Instance) => peers.get(instance);
  const gossip = disposables.add(
    new Gossip({self, feed, instances, store, peerOf, clock, random, logger}),
  );
  const lists = instances.lists.subscribe((list) => {
    peers.retain(list.instances);
  });
  disposables.defer(() => {
    lists.unsubscribe();
  });
  return {
    record,
    feed,
    instances,
    gossip,
    peers,
    addMethods: (methods) =>
      addGossipMethods(methods, gossip).add(configurationStatusMethod, ({ticket}) =>
        feed.status(ticket),
      ),
    async start() {
      gossip.start();
      await instances.start();
    },
    [Symbol.dispose]() {
      disposables[Symbol.dispose]();
    },
  };
}

/**
 * Age of the list of instances, in milliseconds, from which a process reads it from the platform: 0 for
 * watchers, and higher with higher rank for other processes.
 */
export function computeListAgeLimitMs(
  instances: readonly Instance[],
  self: Locality,
  intervalMs: number,
): number {
  const neighbourhood = findNeighbourhood(instances, self);
  return isWatcher(neighbourhood) || neighbourhood.isIsolated
    ? 0
    : intervalMs + computeConfirmationAgeLimitMs(neighbourhood);
}
