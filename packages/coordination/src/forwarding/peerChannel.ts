/** Tells other instances of sends, first events and slow endpoints by datagrams; a lost one is not missed. */
import {createSocket, type Socket} from 'node:dgram';
import {splitAddress} from '@marigoldfold/transport';
import type {Clock, Logger} from '@marigoldfold/runtime';
import {createJSONRPCNotification} from 'json-rpc-2.0';
import {rankMembers} from '../rendezvous.js';
import {PEER_UPDATE_METHOD, type PeerUpdate, peerUpdateSchema} from './peerMessages.js';

/** What the exchange needs. */
export interface PeerChannelOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: string;
  /** `host:port` of the socket. */
  readonly address: string;
  readonly onUpdate: (news: PeerUpdate) => void;
}

/** Time over which news are gathered for each peer, in milliseconds: a message costs some 20 µs. */
const BATCH_MS_PER_PEER = 2.5;
/** Longest time that news wait, in milliseconds. */
const MAX_BATCH_DELAY_MS = 80;
/**
 * Peers that are told at most, so that the cost does not grow with the fleet: beyond this an instance sends
 * so small a part of the requests that its news decide little.
 */
const MAX_RECIPIENTS = 40;
/** Largest datagram, in bytes: what fits a packet without being split. */
const MAX_DATAGRAM_BYTES = 1400;

interface UpdateBatch {
  readonly sent: PeerUpdate['sent'][number][];
  readonly begun: string[];
  readonly ended: string[];
  readonly slowness: Map<string, number>;
}

/** A socket with the peers that it tells. */
export class PeerChannel implements Disposable {
  readonly #options: PeerChannelOptions;
  readonly #socket: Socket;
  /** Addresses by instance. */
  readonly #peers = new Map<string, string>();
  /** Addresses of the peers that are told. */
  #recipients: readonly string[] = [];
  #batch = emptyBatch();
  #timer: Disposable | undefined;
  #isClosed = false;

  constructor(options: PeerChannelOptions) {
    this.#options = options;
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (message) => {
      this.#receive(message);
    });
    this.#socket.on('error', (error) => {
      options.logger.warn('peer socket failed', {reason: error.message});
    });
    const [host, port] = splitAddress(options.address);
    this.#socket.bind(port, host);
  }

  /** Number of peers. */
  get size(): number {
    return this.#peers.size;
  }

  /** Adds a peer or takes over its new address. */
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

  [Symbol.dispose](): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#timer?.[Symbol.dispose]();
    this.#socket.close();
  }

  /** Each instance tells others, so that all together are heard of evenly. */
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
    const {sent, begun, ended, slowness} = this.#batch;
    this.#batch = emptyBatch();
    const news = {from: this.#options.self, sent, begun, ended, slowness: [...slowness]};
    for (const part of splitUpdate(news)) {
      const message = Buffer.from(
        JSON.stringify(createJSONRPCNotification(PEER_UPDATE_METHOD, part)),
      );
      for (const address of this.#recipients) {
        const [host, port] = splitAddress(address);
        this.#socket.send(message, port, host);
      }
    }
  }

  #receive(message: Buffer): void {
    const news = parseUpdate(message);
    if (news !== undefined) this.#options.onUpdate(news);
    else this.#options.logger.warn('news of a peer cannot be read', {bytes: message.length});
  }
}

function emptyBatch(): UpdateBatch {
  return {sent: [], begun: [], ended: [], slowness: new Map()};
}

/** Halves the news until each part fits a datagram. */
function splitUpdate(news: PeerUpdate): readonly PeerUpdate[] {
  const count = news.sent.length + news.begun.length + news.ended.length + news.slowness.length;
  if (count < 2 || JSON.stringify(news).length < MAX_DATAGRAM_BYTES) return [news];
  const halves = [0, 1].map((half): PeerUpdate => {
    const cut = <T>(items: readonly T[]) => {
      const middle = Math.ceil(items.length / 2);
      return half === 0 ? items.slice(0, middle) : items.slice(middle);
    };
    return {
      from: news.from,
      sent: cut(news.sent),
      begun: cut(news.begun),
      ended: cut(news.ended),
      slowness: cut(news.slowness),
    };
  });
  return halves.flatMap(splitUpdate);
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
