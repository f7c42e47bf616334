/** In-memory network with delays and faults; messages are serialized as on a control connection. */
import {
  addGossipMethods,
  type Locality,
  type PeerOf,
  type PeerError,
  pullMethod,
  snapshotMethod,
  type GossipPeer,
  type GossipService,
} from '@marigoldfold/coordination';
import {
  gossipExchangeMethod,
  type Instance,
  instanceListMethod,
  type Method,
} from '@marigoldfold/protocol';
import {type Clock, type Random, sleep} from '@marigoldfold/runtime';
import {RpcMethods} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';

/** Faults of the network, which tests change while it runs. */
export interface NetworkFaults {
  /** Whether a message can pass from one process to another; otherwise it is lost. */
  isReachable: (from: Locality, to: Locality) => boolean;
  /** Fraction of the requests that are delivered twice, from 0 to 1. */
  duplicationRate: number;
  /** Maximum random delay added to a message, so that messages arrive out of order. */
  maxExtraDelayMs: number;
  /** Replaces the result that a process returns; absent to pass results on unchanged. */
  alterResult?: (from: Locality, method: string, result: unknown) => unknown;
}

/** Totals of sent and received messages of a process. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** A process that sends and receives messages, with its locality and traffic counters. */
export interface NetworkNode {
  readonly locality: Locality;
  /** Resolves when the process is not paused; a paused process handles no messages. */
  readonly waitUntilRunning: () => Promise<void>;
  readonly traffic: Traffic;
}

interface ConnectedNode extends NetworkNode {
  readonly methods: RpcMethods;
}

const TIMEOUT_MS = 2000;

/** Delivers gossip calls between connected processes; a call without a response times out. */
export class MemoryNetwork {
  readonly faults: NetworkFaults = {
    isReachable: () => true,
    duplicationRate: 0,
    maxExtraDelayMs: 0,
  };
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #delayMs: (from: Locality, to: Locality) => number;
  readonly #nodes = new Map<string, ConnectedNode>();
  #sequence = 0;

  constructor(clock: Clock, random: Random, delayMs: (from: Locality, to: Locality) => number) {
    this.#clock = clock;
    this.#random = random;
    this.#delayMs = delayMs;
  }

  /** Connects a process, replacing one of the same name. */
  connect(node: NetworkNode, service: GossipService): void {
    const methods = addGossipMethods(new RpcMethods(), service);
    this.#nodes.set(node.locality.name, {...node, methods});
  }

  /** Disconnects a process; later messages to it are lost. */
  disconnect(name: string): void {
    this.#nodes.delete(name);
  }

  /** Returns a function that creates clients for the peers of a process. */
  peersOf(node: NetworkNode): PeerOf {
    return (instance) => {
      const call = <P, R>(method: Method<P, R>, params: P) =>
        this.#call(node, instance, method, params);
      const peer: GossipPeer = {
        exchange: (summary) => call(gossipExchangeMethod, summary),
        pull: (after) => call(pullMethod, {after}),
        snapshot: (request) => call(snapshotMethod, request),
        instances: (from) => call(instanceListMethod, {from}),
      };
      return peer;
    };
  }

  async #call<P, R>(
    from: NetworkNode,
    to: Instance,
    method: Method<P, R>,
    params: P,
  ): Promise<Result<R, PeerError>> {
    this.#sequence += 1;
    const request = {jsonrpc: '2.0' as const, id: this.#sequence, method: method.name, params};
    const response = this.#deliver(from, to, JSON.stringify(request));
    const timeout = sleep(this.#clock, TIMEOUT_MS).then(() => undefined);
    const text = await Promise.race([response, timeout]);
    await from.waitUntilRunning();
    if (text === undefined) return err({message: 'no response within the timeout'});
    const {result} = JSON.parse(text) as {readonly result: unknown};
    const checked = method.result.safeParse(result);
    return checked.success ? ok(checked.data) : err({message: checked.error.message});
  }

  /** Resolves with the response; never resolves if a message is lost. */
  async #deliver(from: NetworkNode, to: Instance, request: string): Promise<string | undefined> {
    const {faults} = this;
    recordTraffic(from, request);
    const isDuplicated = this.#random() < faults.duplicationRate;
    await this.#delayMessage(from.locality, to);
    const target = this.#nodes.get(to.name);
    if (target === undefined || !faults.isReachable(from.locality, target.locality))
      return loseMessage();
    await target.waitUntilRunning();
    recordTraffic(target, request);
    const rawResponse = await target.methods.server.receiveJSON(request);
    if (isDuplicated) {
      await this.#delayMessage(from.locality, to);
      await target.methods.server.receiveJSON(request);
    }
    const response = JSON.stringify(this.#alterResponse(target.locality, request, rawResponse));
    recordTraffic(target, response);
    await this.#delayMessage(target.locality, from.locality);
    if (!faults.isReachable(target.locality, from.locality)) return loseMessage();
    recordTraffic(from, response);
    return response;
  }

  #alterResponse(from: Locality, request: string, response: unknown): unknown {
    const {alterResult} = this.faults;
    if (alterResult === undefined) return response;
    const {method} = JSON.parse(request) as {readonly method: string};
    const {result, ...rest} = response as {readonly result: unknown};
    return {...rest, result: alterResult(from, method, result)};
  }

  #delayMessage(from: Locality, to: Locality): Promise<void> {
    const extraDelayMs = this.faults.maxExtraDelayMs * this.#random();
    return sleep(this.#clock, this.#delayMs(from, to) + extraDelayMs);
  }
}

function loseMessage(): Promise<never> {
  return new Promise(() => undefined);
}

function recordTraffic({traffic}: NetworkNode, text: string): void {
  traffic.messages += 1;
  traffic.bytes += Buffer.byteLength(text);
}
