/** Messages between processes in memory, with delays and faults, serialized as on a control connection. */
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

/** Faults of the network, switched on and off. */
export interface NetworkFaults {
  /** Whether two processes can exchange messages; a message that cannot pass is lost. */
  isReachable: (from: Locality, to: Locality) => boolean;
  /** Part of the messages that are delivered twice. */
  duplicationRate: number;
  /** Milliseconds by which a message is late at most, so that messages overtake one another. */
  maxExtraDelayMs: number;
  /** Alters what a process answers; its answer is passed on unchanged when absent. */
  alterResult?: (from: Locality, method: string, result: unknown) => unknown;
}

/** What a process has sent and received. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** A process on the network. */
export interface NetworkNode {
  readonly locality: Locality;
  /** Resolves when the process runs; a paused one answers nothing. */
  readonly waitUntilRunning: () => Promise<void>;
  readonly traffic: Traffic;
}

interface ConnectedNode extends NetworkNode {
  readonly methods: RpcMethods;
}

const TIMEOUT_MS = 2000;

/** Delivers calls between stations. */
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

  /** Puts a process on the network. */
  connect(node: NetworkNode, service: GossipService): void {
    const methods = addGossipMethods(new RpcMethods(), service);
    this.#nodes.set(node.locality.name, {...node, methods});
  }

  /** Takes a process off the network. */
  disconnect(name: string): void {
    this.#nodes.delete(name);
  }

  /** The peers of a station. */
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
    const answer = this.#deliver(from, to, JSON.stringify(request));
    const timeout = sleep(this.#clock, TIMEOUT_MS).then(() => undefined);
    const text = await Promise.race([answer, timeout]);
    await from.waitUntilRunning();
    if (text === undefined) return err({message: 'no answer in time'});
    const {result} = JSON.parse(text) as {readonly result: unknown};
    const checked = method.result.safeParse(result);
    return checked.success ? ok(checked.data) : err({message: checked.error.message});
  }

  /** Resolves with the answer; never when a message is lost. */
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
    const answered = await target.methods.server.receiveJSON(request);
    if (isDuplicated) {
      await this.#delayMessage(from.locality, to);
      await target.methods.server.receiveJSON(request);
    }
    const answer = JSON.stringify(this.#alterResponse(target.locality, request, answered));
    recordTraffic(target, answer);
    await this.#delayMessage(target.locality, from.locality);
    if (!faults.isReachable(target.locality, from.locality)) return loseMessage();
    recordTraffic(from, answer);
    return answer;
  }

  #alterResponse(from: Locality, request: string, answer: unknown): unknown {
    const {alterResult} = this.faults;
    if (alterResult === undefined) return answer;
    const {method} = JSON.parse(request) as {readonly method: string};
    const {result, ...rest} = answer as {readonly result: unknown};
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
