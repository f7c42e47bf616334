/** Exchanges request progress and endpoint slowness with other instances over UDP, without retransmission. */
import {createSocket, type Socket} from 'node:dgram';
import {splitAddress} from '@marigoldfold/transport';
import type {Clock, Logger} from '@marigoldfold/runtime';
import {rankMembers} from '../rendezvous.js';
import {encodeLimit, type LimitStatement} from './endpointLimit.js';
import type {EndpointCrash} from './promptQuarantine.js';
import {encodeUpdate} from './peerDatagrams.js';
import {
  emptyUpdate,
  PEER_UPDATE_METHOD,
  type PeerUpdate,
  peerUpdateSchema,
} from './peerMessages.js';

/** Identity, local address and dependencies of a channel. */
export interface PeerChannelOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: string;
  /** Local `host:port` to bind the socket to. */
  readonly address: string;
  readonly onUpdate: (update: PeerUpdate) => void;
}

/** Batching delay per recipient, in milliseconds; sending one message takes about 20 µs. */
const BATCH_MS_PER_PEER = 2.5;
/** Longest time that an update waits in a batch, in milliseconds. */
const MAX_BATCH_DELAY_MS = 80;
/**
 * Maximum number of peers that receive updates, so that the cost does not grow with the number of instances.
 * With more instances, each one sends a smaller part of the requests, and its updates matter less.
 */
const MAX_RECIPIENTS = 40;
/** Time until the address is tried again if another process has it, in milliseconds. */
const BIND_RETRY_MS = 1000;

interface UpdateBatch {
  readonly sent: PeerUpdate['sent'][number][];
  readonly begun: string[];
  readonly ended: string[];
  readonly slowness: Map<string, number>;
  readonly unreachable: Set<string>;
  readonly limits: Map<string, LimitStatement>;
}

/** UDP socket that sends batched updates to selected peers and receives theirs. */
export class PeerChannel implements Disposable {
  readonly #options: PeerChannelOptions;
  readonly #socket: Socket;
  /** `host:port` of each peer, by instance name. */
  readonly #peers = new Map<string, string>();
  /** Addresses of the peers that receive updates. */
  #recipients: readonly string[] = [];
  #batch = emptyBatch();
  /** Speeds by endpoint that the next batch takes along; they are not urgent, so they open none. */
  readonly #speeds = new Map<string, PeerUpdate['speeds'][number]>();
  #timer: Disposable | undefined;
  #bindTimer: Disposable | undefined;
  /** Whether the address of this instance is open. Nothing is sent before, as the socket would choose another one. */
  #isBound = false;
  #isClosed = false;

  constructor(options: PeerChannelOptions) {
    this.#options = options;
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (message) => {
      this.#receive(message);
    });
    this.#socket.on('listening', () => {
      this.#isBound = true;
      if (this.#bindTimer !== undefined) {
        options.logger.info('peer socket opened', {address: options.address});
      }
    });
    this.#socket.on('error', (error) => {
      options.logger.warn('peer socket failed', {reason: error.message});
      if (!this.#isBound)
        this.#bindTimer = options.clock.schedule(BIND_RETRY_MS, () => {
          this.#bind();
        });
    });
    this.#bind();
  }

  #bind(): void {
    const [host, port] = splitAddress(this.#options.address);
    this.#socket.bind(port, host);
  }

  /** Names of the known peers, including those that receive no updates. */
  get names(): readonly string[] {
    return [...this.#peers.keys()];
  }

  /** Number of known peers, including those that receive no updates. */
  get size(): number {
    return this.#peers.size;
  }

  /** Part of the peers that send their updates to this instance, above 0; each selects its recipients evenly. */
  get coverage(): number {
    return Math.min(1, MAX_RECIPIENTS / Math.max(1, this.#peers.size));
  }

  /** Adds a peer or updates its address. */
  add(peer: string, address: string): void {
    if (peer === this.#options.self) return;
    this.#peers.set(peer, address);
    this.#selectRecipients();
    this.#options.logger.info('peer', {belief: 'peer', peer, address});
  }

  remove(peer: string): void {
    if (!this.#peers.delete(peer)) return;
    this.#selectRecipients();
    this.#options.logger.info('peer', {belief: 'peer', peer, state: 'gone'});
  }

  publishSent(sent: PeerUpdate['sent'][number]): void {
    this.#openBatch().sent.push(sent);
  }

  publishFirstEvent(requestId: string): void {
    this.#openBatch().begun.push(requestId);
  }

  publishEnded(requestId: string): void {
    this.#openBatch().ended.push(requestId);
  }

  publishSlowness(endpointId: string, slowness: number): void {
    this.#openBatch().slowness.set(endpointId, slowness);
  }

  publishSpeed(speed: PeerUpdate['speeds'][number]): void {
    if (this.#peers.size > 0) this.#speeds.set(speed[0], speed);
  }

  publishUnreachable(endpointId: string): void {
    this.#openBatch().unreachable.add(endpointId);
  }

  publishLimit(endpointId: string, limit: LimitStatement): void {
    this.#openBatch().limits.set(endpointId, limit);
  }

  /** Sends what cannot wait for a batch to one peer. */
  sendTo(
    peer: string,
    update: Partial<Pick<PeerUpdate, 'permitRequests' | 'permits' | 'configuration' | 'usage'>>,
  ): void {
    const address = this.#peers.get(peer);
    if (address === undefined || this.#isClosed) return;
    this.#send({...emptyUpdate(this.#options.self), ...update}, [address]);
  }

  /** Sends a crash to all peers at once, since crashes are rare and each instance needs most of them. */
  publishCrash(crash: EndpointCrash): void {
    if (this.#isClosed) return;
    this.#send({...emptyUpdate(this.#options.self), crashes: [crash]}, [...this.#peers.values()]);
  }

  [Symbol.dispose](): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#timer?.[Symbol.dispose]();
    this.#bindTimer?.[Symbol.dispose]();
    this.#socket.close();
  }

  /** Selects recipients by a ranking that differs between instances, so that updates reach all peers evenly. */
  #selectRecipients(): void {
    const ranked = rankMembers(this.#options.self, [...this.#peers], ([peer]) => peer);
    this.#recipients = ranked.slice(0, MAX_RECIPIENTS).map(([, address]) => address);
  }

  #openBatch(): UpdateBatch {
    if (this.#peers.size > 0 && !this.#isClosed) {
      const waitMs = Math.min(MAX_BATCH_DELAY_MS, BATCH_MS_PER_PEER * this.#recipients.length);
      this.#timer ??= this.#options.clock.schedule(waitMs, () => {
        this.#flush();
      });
      return this.#batch;
    }
    return emptyBatch();
  }

  #flush(): void {
    this.#timer = undefined;
    const {sent, begun, ended, slowness, unreachable, limits} = this.#batch;
    this.#batch = emptyBatch();
    const now = this.#options.clock.now();
    const update = {
      ...emptyUpdate(this.#options.self),
      sent,
      begun,
      ended,
      slowness: [...slowness],
      speeds: [...this.#speeds.values()],
      unreachable: [...unreachable],
      limits: [...limits].map(([id, limit]): PeerUpdate['limits'][number] => [
        id,
        encodeLimit(limit, now),
      ]),
    };
    this.#speeds.clear();
    this.#send(update, this.#recipients);
  }

  #send(update: PeerUpdate, recipients: readonly string[]): void {
    if (!this.#isBound) return;
    const datagrams = encodeUpdate(update, (bytes) => {
      this.#options.logger.warn('peer update too long', {bytes});
    });
    for (const message of datagrams) {
      for (const address of recipients) {
        const [host, port] = splitAddress(address);
        this.#socket.send(message, port, host);
      }
    }
  }

  #receive(message: Buffer): void {
    const update = parseUpdate(message);
    if (update !== undefined) this.#options.onUpdate(update);
    else this.#options.logger.warn('peer update cannot be parsed', {bytes: message.length});
  }
}

function emptyBatch(): UpdateBatch {
  return {
    sent: [],
    begun: [],
    ended: [],
    slowness: new Map(),
    unreachable: new Set(),
    limits: new Map(),
  };
}

function parseUpdate(message: Buffer): PeerUpdate | undefined {
  try {
    const {method, params} = JSON.parse(message.toString()) as {method?: unknown; params?: unknown};
    if (method !== PEER_UPDATE_METHOD) return undefined;
    return peerUpdateSchema.safeParse(params).data;
  } catch {
    return undefined;
  }
}
