/** Publishes sends, first events, ends and slow endpoints to other instances by best-effort datagrams. */
import {createSocket, type Socket} from 'node:dgram';
import {splitAddress} from '@marigoldfold/transport';
import type {Clock, Logger} from '@marigoldfold/runtime';
import {createJSONRPCNotification} from 'json-rpc-2.0';
import {rankMembers} from '../rendezvous.js';
import {PEER_UPDATE_METHOD, type PeerUpdate, peerUpdateSchema} from './peerMessages.js';

/** Dependencies and addresses of a channel. */
export interface PeerChannelOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: string;
  /** `host:port` of the socket. */
  readonly address: string;
  readonly onUpdate: (update: PeerUpdate) => void;
}

/** Length of a batch per recipient, in milliseconds: a message costs some 20 µs. */
const BATCH_MS_PER_PEER = 2.5;
/** Longest time that an update waits in a batch, in milliseconds. */
const MAX_BATCH_DELAY_MS = 80;
/**
 * Most peers that receive updates, so that the cost does not grow with the fleet: in a larger fleet each
 * instance sends so small a part of the requests that its updates matter little.
 */
const MAX_RECIPIENTS = 40;
/** Largest datagram, in bytes: it fits one packet without fragmentation. */
const MAX_DATAGRAM_BYTES = 1400;

interface UpdateBatch {
  readonly sent: PeerUpdate['sent'][number][];
  readonly begun: string[];
  readonly ended: string[];
  readonly slowness: Map<string, number>;
}

/** A UDP socket with the peers that it sends to and receives from. */
export class PeerChannel implements Disposable {
  readonly #options: PeerChannelOptions;
  readonly #socket: Socket;
  /** Addresses by instance. */
  readonly #peers = new Map<string, string>();
  /** Addresses of the peers that receive updates. */
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

  [Symbol.dispose](): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#timer?.[Symbol.dispose]();
    this.#socket.close();
  }

  /** Each instance ranks its peers differently, so that updates reach all peers evenly. */
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
    const update = {from: this.#options.self, sent, begun, ended, slowness: [...slowness]};
    for (const part of splitUpdate(update)) {
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
    const update = parseUpdate(message);
    if (update !== undefined) this.#options.onUpdate(update);
    else this.#options.logger.warn('peer update cannot be parsed', {bytes: message.length});
  }
}

function emptyBatch(): UpdateBatch {
  return {sent: [], begun: [], ended: [], slowness: new Map()};
}

/** Halves an update until each part fits a datagram. */
function splitUpdate(update: PeerUpdate): readonly PeerUpdate[] {
  const count =
    update.sent.length + update.begun.length + update.ended.length + update.slowness.length;
  if (count < 2 || JSON.stringify(update).length < MAX_DATAGRAM_BYTES) return [update];
  const halves = [0, 1].map((half): PeerUpdate => {
    const takeHalf = <T>(items: readonly T[]) => {
      const middle = Math.ceil(items.length / 2);
      return half === 0 ? items.slice(0, middle) : items.slice(middle);
    };
    return {
      from: update.from,
      sent: takeHalf(update.sent),
      begun: takeHalf(update.begun),
      ended: takeHalf(update.ended),
      slowness: takeHalf(update.slowness),
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
