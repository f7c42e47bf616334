/** Distributes configurations and the list of instances between processes by gossip. */
import type {Instance, StateSummary} from '@marigoldfold/protocol';
import {type Clock, DisposableStore, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import {type KeyValue, openRecord, readSnapshot} from '@marigoldfold/state';
import type {ConfigurationFeed} from '../configurationFeed.js';
import type {InstanceFeed} from '../instanceFeed.js';
import {catchUp} from './catchUp.js';
import {
  findNeighbourhood,
  isStandby,
  isWatcher,
  type Locality,
  type Neighbourhood,
} from './neighbourhood.js';
import type {PeerOf, GossipPeer, GossipService} from './peer.js';
import {RecordCompactor} from './recordCompactor.js';
import {watchRecord} from './recordWatch.js';
import {answerPull, answerSnapshot, summarizeState} from './gossipService.js';
import {
  invalidPeerBackoffMs,
  exchangeIntervalMs,
  maxFirstExchangeDelayMs,
  unreachablePeerBackoffMs,
} from './timing.js';

/** Feeds, peers and key-value service that gossip uses. */
export interface GossipOptions {
  readonly self: Locality;
  readonly feed: ConfigurationFeed;
  readonly instances: InstanceFeed;
  /** Key-value service that stores the record of tickets. */
  readonly store: KeyValue;
  readonly peerOf: PeerOf;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** Ticket number that a peer reports as in force. */
interface AdvertisedHead {
  readonly name: string;
  readonly number: number;
  readonly confirmedAtMs: number | undefined;
}

/**
 * Exchanges summaries with peers and pulls newer state. The
 * chain alone determines the configuration in force.
 */
export class Gossip implements GossipService, Disposable {
  readonly #options: GossipOptions;
  readonly #disposables = new DisposableStore();
  readonly #backoffUntilMs = new Map<string, number>();
  /** Peers with an announcement in flight; the value is true if another one must be sent afterwards. */
  readonly #announcing = new Map<string, boolean>();
  #neighbourhood: Neighbourhood;
  #isPulling = false;
  #pendingHead: AdvertisedHead | undefined;
  #isPullingList = false;
  /** Name of the peer from which tickets are being pulled; these tickets are not announced back to that peer. */
  #pulledFrom: string | undefined;

  constructor(options: GossipOptions) {
    this.#options = options;
    this.#neighbourhood = findNeighbourhood([], options.self);
  }

  /** Rank of this process in its failure domain; processes with the lowest ranks watch the key-value service. */
  get rank(): number {
    return this.#neighbourhood.rank;
  }

  /** Starts watching the record and exchanging summaries with peers. */
  start(): void {
    const {feed, instances, self, store, clock, random, logger} = this.#options;
    const compactor = new RecordCompactor({store, feed, random, logger});
    const controller = new AbortController();
    this.#disposables.defer(() => {
      controller.abort();
    });
    const lists = instances.lists.subscribe(({instances: listed}) => {
      this.#neighbourhood = findNeighbourhood(listed, self);
    });
    const heads = feed.heads.subscribe(({number}) => {
      if (number > 0) this.#announce();
    });
    this.#disposables.defer(() => {
      lists.unsubscribe();
      heads.unsubscribe();
    });
    void watchRecord(
      {
        record: openRecord(store),
        readSnapshot: () => readSnapshot(store),
        feed,
        clock,
        random,
        logger,
        neighbourhood: () => this.#neighbourhood,
        onConfirmed: () => {
          if (!isWatcher(this.#neighbourhood)) return;
          this.#announce();
          void compactor.compact();
        },
      },
      controller.signal,
    );
    void this.#runExchangeLoop(controller.signal);
  }

  /** Processes a peer's summary and returns the summary of this process. */
  exchange(summary: StateSummary): StateSummary {
    this.#applySummary(summary);
    return this.#summary();
  }

  pull(after: number) {
    return answerPull(this.#options.feed, after);
  }

  snapshot(request: Parameters<GossipService['snapshot']>[0]) {
    return answerSnapshot(this.#options.feed, request);
  }

  instances(from: string) {
    return this.#options.instances.deltaFrom(from);
  }

  /** Records a peer's ticket number; if it is higher than the one in force here, pulls the tickets at once. */
  observeNumber(name: string, number: number): void {
    if (number <= this.#options.feed.head.number) return;
    void this.#catchUpWith({name, number, confirmedAtMs: undefined});
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  #summary(): StateSummary {
    const {self, feed, instances} = this.#options;
    return summarizeState(self.name, feed, instances);
  }

  #applySummary({sender, number, ageMs, listDigest, listAgeMs}: StateSummary): void {
    const {feed, instances, clock} = this.#options;
    if (this.#isBackedOff(sender)) return;
    if (number === feed.head.number && ageMs !== null) feed.confirm(number, ageMs);
    if (number > feed.head.number) {
      const confirmedAtMs = ageMs === null ? undefined : clock.now() - ageMs;
      void this.#catchUpWith({name: sender, number, confirmedAtMs});
    }
    if (listAgeMs === null) return;
    if (listDigest === instances.digest) instances.confirm(listDigest, listAgeMs);
    else if (listAgeMs < (instances.ageMs ?? Number.POSITIVE_INFINITY)) void this.#pullList(sender);
  }

  /** Catches up with a peer; heads reported in the meantime are handled afterwards. */
  async #catchUpWith(advertised: AdvertisedHead): Promise<void> {
    this.#pendingHead = advertised;
    if (this.#isPulling) return;
    this.#isPulling = true;
    let next: AdvertisedHead | undefined = advertised;
    while (next !== undefined && !this.#disposables.isDisposed) {
      this.#pendingHead = undefined;
      await this.#pullFrom(next);
      next = this.#pendingHead;
    }
    this.#isPulling = false;
  }

  async #pullFrom({name, number, confirmedAtMs}: AdvertisedHead): Promise<void> {
    const {feed, clock, logger} = this.#options;
    const peer = this.#findPeer(name);
    if (number <= feed.head.number || peer === undefined || this.#isBackedOff(name)) return;
    this.#pulledFrom = name;
    const result = await catchUp(feed, peer, number);
    this.#pulledFrom = undefined;
    if (result.isErr()) {
      const {code, message} = result.error;
      logger.warn('catching up with a peer failed', {peer: name, code, reason: message});
      const backoffMs = code === 'untrustworthy' ? invalidPeerBackoffMs : unreachablePeerBackoffMs;
      this.#backoffUntilMs.set(name, clock.now() + backoffMs);
    } else if (confirmedAtMs !== undefined) feed.confirm(number, clock.now() - confirmedAtMs);
  }

  async #pullList(name: string): Promise<void> {
    const {instances} = this.#options;
    const peer = this.#findPeer(name);
    if (this.#isPullingList || peer === undefined) return;
    this.#isPullingList = true;
    const delta = await peer.instances(instances.digest);
    if (delta.isOk() && !instances.applyDelta(delta.value)) {
      const fullList = await peer.instances('');
      if (fullList.isOk()) instances.applyDelta(fullList.value);
    }
    this.#isPullingList = false;
  }

  /** Sends the summary to all gossip peers, one call at a time for each. */
  #announce(): void {
    for (const instance of this.#neighbourhood.peers) {
      if (instance.name === this.#pulledFrom) continue;
      if (this.#announcing.has(instance.name)) this.#announcing.set(instance.name, true);
      else void this.#announceTo(instance);
    }
  }

  async #announceTo(instance: Instance): Promise<void> {
    const {name} = instance;
    do {
      this.#announcing.set(name, false);
      await this.#exchangeWith(instance);
    } while (this.#announcing.get(name) === true && !this.#disposables.isDisposed);
    this.#announcing.delete(name);
  }

  async #exchangeWith(instance: Instance): Promise<void> {
    const response = await this.#options.peerOf(instance).exchange(this.#summary());
    if (response.isErr() || this.#disposables.isDisposed) return;
    this.#applySummary({...response.value, sender: instance.name});
  }

  async #runExchangeLoop(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.#options;
    await sleep(clock, maxFirstExchangeDelayMs * random(), signal);
    while (!signal.aborted) {
      const peer = this.#choosePeer();
      if (peer !== undefined) void this.#exchangeWith(peer);
      await sleep(clock, exchangeIntervalMs, signal);
    }
  }

  /** Selects a random gossip peer; standbys prefer a watcher. */
  #choosePeer(): Instance | undefined {
    const {peers, watchers} = this.#neighbourhood;
    const choices = isStandby(this.#neighbourhood) && watchers.length > 0 ? watchers : peers;
    return choices[Math.floor(this.#options.random() * choices.length)];
  }

  #findPeer(name: string): GossipPeer | undefined {
    const {instances, peerOf} = this.#options;
    const instance = instances.list.instances.find((listed) => listed.name === name);
    return instance === undefined ? undefined : peerOf(instance);
  }

  #isBackedOff(name: string): boolean {
    const untilMs = this.#backoffUntilMs.get(name);
    if (untilMs === undefined) return false;
    if (this.#options.clock.now() < untilMs) return true;
    this.#backoffUntilMs.delete(name);
    return false;
  }
}
