/** What entry and agent share: configuration, list of instances, and their spreading. */
import {configurationStatusMethod, type Instance} from '@marigoldfold/protocol';
import {type Clock, DisposableStore, type Logger, type Random} from '@marigoldfold/runtime';
import {type KeyValue, openRecord, type TicketRecord} from '@marigoldfold/state';
import type {ClusterKey, HttpClient, Methods} from '@marigoldfold/transport';
import {ConfigurationFeed} from '../configurationFeed.js';
import {InstanceFeed} from '../instanceFeed.js';
import {createInstanceSource} from '../instanceSource.js';
import {ageLimitMs, findNeighbourhood, isWatcher, type Locality} from './neighbourhood.js';
import {addSpreadMethods} from './peer.js';
import {Spread} from './spread.js';
import {SpreadPeers} from './spreadPeers.js';

/** What a process needs to take part. */
export interface MembershipOptions {
  readonly self: Locality;
  readonly store: KeyValue;
  readonly client: HttpClient;
  readonly clusterKey: ClusterKey;
  /** The monitor's public key at the first ticket. */
  readonly monitorKey: string;
  readonly platform: {
    /** `host:port` of the platform's list. */
    readonly instances: string;
    readonly instancesIntervalMs: number;
  };
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** A process's part in the fleet. */
export interface Membership extends Disposable {
  readonly record: TicketRecord;
  readonly feed: ConfigurationFeed;
  readonly instances: InstanceFeed;
  readonly spread: Spread;
  readonly peers: SpreadPeers;
  /** Offers to peers what they ask of this process. */
  offer(methods: Methods): Methods;
  /** Reads the list of instances and begins to follow configurations. */
  start(): Promise<void>;
}

/** Puts the parts together. */
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
        listAgeLimitMs(instances.list.instances, self, platform.instancesIntervalMs),
    }),
  );
  const peers = disposables.add(new SpreadPeers(clusterKey));
  const peerOf = (instance: Instance) => peers.get(instance);
  const spread = disposables.add(
    new Spread({self, feed, instances, record, peerOf, clock, random, logger}),
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
    spread,
    peers,
    offer: (methods) =>
      addSpreadMethods(methods, spread).add(configurationStatusMethod, ({ticket}) =>
        feed.status(ticket),
      ),
    async start() {
      spread.start();
      await instances.start();
    },
    [Symbol.dispose]() {
      disposables[Symbol.dispose]();
    },
  };
}

/** Age from which a process reads the list itself: watchers always, others by their rank. */
export function listAgeLimitMs(
  instances: readonly Instance[],
  self: Locality,
  intervalMs: number,
): number {
  const place = findNeighbourhood(instances, self);
  return isWatcher(place) || place.isAlone ? 0 : intervalMs + ageLimitMs(place);
}
