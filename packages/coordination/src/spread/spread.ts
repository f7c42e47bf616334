/** Spreads configurations and the list of instances among the processes. */
import type {Instance, Summary} from '@marigoldfold/protocol';
import {type Clock, DisposableStore, type Logger, type Random, sleep} from '@marigoldfold/runtime';
import type {TicketRecord} from '@marigoldfold/state';
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
import type {PeerOf, SpreadPeer, SpreadService} from './peer.js';
import {watchRecord} from './recordWatch.js';
import {answerPull, answerSnapshot, summarize} from './spreadService.js';
import {distrustMs, exchangeIntervalMs, firstExchangeMs, unreachableMs} from './timing.js';

/** What the spreading needs. */
export interface SpreadOptions {
  readonly self: Locality;
  readonly feed: ConfigurationFeed;
  readonly instances: InstanceFeed;
  readonly record: TicketRecord;
  readonly peerOf: PeerOf;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** A number that a peer says is in force there. */
interface Claim {
  readonly name: string;
  readonly number: number;
  readonly confirmedAtMs: number | undefined;
}

/** A process's part in the spreading. It decides nothing: what is in force follows from the chain. */
export class Spread implements SpreadService, Disposable {
  readonly #options: SpreadOptions;
  readonly #disposables = new DisposableStore();
  readonly #distrustedUntilMs = new Map<string, number>();
  /** Peers that an announcement is on its way to; true when another has to follow. */
  readonly #announcing = new Map<string, boolean>();
  #neighbourhood: Neighbourhood;
  #isPulling = false;
  #newestClaim: Claim | undefined;
  #isPullingList = false;
  /** Name of the peer that the newest head came from. */
  #pulledFrom: string | undefined;

  constructor(options: SpreadOptions) {
    this.#options = options;
    this.#neighbourhood = findNeighbourhood([], options.self);
  }

  /** Rank in the failure domain; the first ranks watch the key-value service. */
  get rank(): number {
    return this.#neighbourhood.rank;
  }

  /** Begins to take part. */
  start(): void {
    const {feed, instances, self, record, clock, random, logger} = this.#options;
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
        record,
        feed,
        clock,
        random,
        logger,
        neighbourhood: () => this.#neighbourhood,
        onConfirmed: () => {
          if (isWatcher(this.#neighbourhood)) this.#announce();
        },
      },
      controller.signal,
    );
    void this.#exchangeRegularly(controller.signal);
  }

  /** Takes a peer's summary and answers with the one of this process. */
  exchange(summary: Summary): Summary {
    this.#learn(summary);
    return this.#summary();
  }

  pull(after: number) {
    return answerPull(this.#options.feed, after);
  }

  snapshot(request: Parameters<SpreadService['snapshot']>[0]) {
    return answerSnapshot(this.#options.feed, request);
  }

  instances(from: string) {
    return this.#options.instances.deltaFrom(from);
  }

  /** Notes that an instance showed a number, on an answer or a request; a higher one is pulled at once. */
  notice(name: string, number: number): void {
    if (number <= this.#options.feed.head.number) return;
    void this.#follow({name, number, confirmedAtMs: undefined});
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  #summary(): Summary {
    const {self, feed, instances} = this.#options;
    return summarize(self.name, feed, instances);
  }

  #learn({sender, number, ageMs, listDigest, listAgeMs}: Summary): void {
    const {feed, instances, clock} = this.#options;
    if (this.#isDistrusted(sender)) return;
    if (number === feed.head.number && ageMs !== null) feed.confirm(number, ageMs);
    if (number > feed.head.number) {
      const confirmedAtMs = ageMs === null ? undefined : clock.now() - ageMs;
      void this.#follow({name: sender, number, confirmedAtMs});
    }
    if (listAgeMs === null) return;
    if (listDigest === instances.digest) instances.confirm(listDigest, listAgeMs);
    else if (listAgeMs < (instances.ageMs ?? Number.POSITIVE_INFINITY)) void this.#pullList(sender);
  }

  /** Becomes level with a peer; what is claimed meanwhile is followed afterwards. */
  async #follow(claim: Claim): Promise<void> {
    this.#newestClaim = claim;
    if (this.#isPulling) return;
    this.#isPulling = true;
    let next: Claim | undefined = claim;
    while (next !== undefined && !this.#disposables.isDisposed) {
      this.#newestClaim = undefined;
      await this.#pullFrom(next);
      next = this.#newestClaim;
    }
    this.#isPulling = false;
  }

  async #pullFrom({name, number, confirmedAtMs}: Claim): Promise<void> {
    const {feed, clock, logger} = this.#options;
    const peer = this.#find(name);
    if (number <= feed.head.number || peer === undefined || this.#isDistrusted(name)) return;
    this.#pulledFrom = name;
    const level = await catchUp(feed, peer, number);
    this.#pulledFrom = undefined;
    if (level.isErr()) {
      const {code, message} = level.error;
      logger.warn('peer not followed', {peer: name, code, reason: message});
      const pauseMs = code === 'untrustworthy' ? distrustMs : unreachableMs;
      this.#distrustedUntilMs.set(name, clock.now() + pauseMs);
    } else if (confirmedAtMs !== undefined) feed.confirm(number, clock.now() - confirmedAtMs);
  }

  async #pullList(name: string): Promise<void> {
    const {instances} = this.#options;
    const peer = this.#find(name);
    if (this.#isPullingList || peer === undefined) return;
    this.#isPullingList = true;
    const delta = await peer.instances(instances.digest);
    if (delta.isOk() && !instances.applyDelta(delta.value)) {
      const whole = await peer.instances('');
      if (whole.isOk()) instances.applyDelta(whole.value);
    }
    this.#isPullingList = false;
  }

  /** Tells all neighbours, one call at a time for each. */
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
    const answer = await this.#options.peerOf(instance).exchange(this.#summary());
    if (answer.isErr() || this.#disposables.isDisposed) return;
    this.#learn({...answer.value, sender: instance.name});
  }

  async #exchangeRegularly(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.#options;
    await sleep(clock, firstExchangeMs * random(), signal);
    while (!signal.aborted) {
      const partner = this.#choosePartner();
      if (partner !== undefined) void this.#exchangeWith(partner);
      await sleep(clock, exchangeIntervalMs, signal);
    }
  }

  /** A neighbour at random; the processes that stand in first ask a watcher. */
  #choosePartner(): Instance | undefined {
    const {peers, watchers} = this.#neighbourhood;
    const choices = isStandby(this.#neighbourhood) && watchers.length > 0 ? watchers : peers;
    return choices[Math.floor(this.#options.random() * choices.length)];
  }

  #find(name: string): SpreadPeer | undefined {
    const {instances, peerOf} = this.#options;
    const instance = instances.list.instances.find((listed) => listed.name === name);
    return instance === undefined ? undefined : peerOf(instance);
  }

  #isDistrusted(name: string): boolean {
    const untilMs = this.#distrustedUntilMs.get(name);
    if (untilMs === undefined) return false;
    if (this.#options.clock.now() < untilMs) return true;
    this.#distrustedUntilMs.delete(name);
    return false;
  }
}
