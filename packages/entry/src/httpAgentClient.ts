/** Clients of agents: receive answers over HTTP and send control calls over one JSON-RPC connection per agent. */
import {
  acknowledgeMethod,
  cancelMethod,
  decodeWorkEvent,
  workRejectionSchema,
  isFinalEvent,
  incarnationHeader,
  type Instance,
  type Load,
  probeMethod,
  withdrawMethod,
  type WorkRequest,
  type WorkEvent,
} from '@marigoldfold/protocol';
import {
  type CallError,
  type ClientResponse,
  type ClientRequest,
  type ClusterKey,
  createPeer,
  type HttpClient,
  type Peer,
  readEvents,
  readWholeBody,
} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import type {AgentClient, StartError, WithdrawalResult, WorkEvents} from './agentClient.js';

const STATUS = {ok: 200, notFound: 404} as const;

/** Creates a client of the agent at the address of the JSON-RPC peer. */
export function createHttpAgentClient(
  client: HttpClient,
  clusterKey: ClusterKey,
  peer: Peer,
): AgentClient {
  return new HttpAgentClient(client, clusterKey, peer);
}

class HttpAgentClient implements AgentClient {
  readonly #client: HttpClient;
  readonly #headers: Readonly<Record<string, string>>;
  readonly #peer: Peer;
  #incarnation: string | undefined;

  constructor(client: HttpClient, clusterKey: ClusterKey, peer: Peer) {
    this.#client = client;
    this.#headers = clusterKey.headers;
    this.#peer = peer;
  }

  get incarnation(): string | undefined {
    return this.#incarnation;
  }

  start(work: WorkRequest, signal: AbortSignal): Promise<Result<WorkEvents, StartError>> {
    return this.#open({
      address: this.#peer.address,
      method: 'POST',
      path: '/work',
      headers: {...this.#headers, 'content-type': 'application/json'},
      body: JSON.stringify(work),
      signal,
    });
  }

  resume(
    id: string,
    afterChunk: number,
    signal: AbortSignal,
  ): Promise<Result<WorkEvents, StartError>> {
    return this.#open({
      address: this.#peer.address,
      method: 'GET',
      path: `/work/${id}?after=${afterChunk}`,
      headers: this.#headers,
      signal,
    });
  }

  async acknowledge(id: string, chunk: number): Promise<Result<void, CallError>> {
    return (await this.#peer.call(acknowledgeMethod, {id, chunk})).map(() => undefined);
  }

  async withdraw(id: string): Promise<Result<WithdrawalResult, CallError>> {
    const answer = await this.#peer.call(withdrawMethod, {id});
    if (answer.isOk()) this.#incarnation = answer.value.incarnation;
    return answer;
  }

  async cancel(id: string): Promise<Result<boolean, CallError>> {
    return (await this.#peer.call(cancelMethod, {id})).map(({wasKnown}) => wasKnown);
  }

  async probe(): Promise<Result<Load, CallError>> {
    const load = await this.#peer.call(probeMethod, {});
    if (load.isOk()) this.#incarnation = load.value.incarnation;
    return load;
  }

  async #open(request: ClientRequest): Promise<Result<WorkEvents, StartError>> {
    const answer = await this.#client.send(request);
    if (answer.isErr()) {
      const {message, mayHaveBeenSent} = answer.error;
      return err({kind: 'unreachable', message, mayHaveBeenSent});
    }
    const {status, headers} = answer.value;
    this.#incarnation = headers[incarnationHeader] ?? this.#incarnation;
    if (status === STATUS.ok) return ok(readWorkEvents(answer.value));
    return err(await readFailedStart(answer.value));
  }
}

async function* readWorkEvents({stream}: ClientResponse): AsyncGenerator<WorkEvent, void> {
  for await (const event of readEvents(stream, isFinalEvent)) {
    const decoded = decodeWorkEvent(event);
    // An event that cannot be decoded counts as a broken connection, after which the answer is resumed.
    if (decoded === undefined) return;
    yield decoded;
  }
}

async function readFailedStart({status, stream}: ClientResponse): Promise<StartError> {
  try {
    const text = (await readWholeBody(stream)).unwrapOr(Buffer.alloc(0)).toString();
    const body = workRejectionSchema.safeParse(JSON.parse(text));
    if (body.success) return {kind: 'refused', ...body.data};
  } catch {
    // The status decides when the body cannot be parsed.
  }
  if (status === STATUS.notFound) return {kind: 'unknown'};
  return {kind: 'unreachable', message: `the agent answered ${status}`, mayHaveBeenSent: true};
}

/** Keeps one client for each listed agent instance. */
export class AgentClientPool implements Disposable {
  readonly #client: HttpClient;
  readonly #clusterKey: ClusterKey;
  readonly #connections = new Map<
    string,
    {readonly peer: Peer; readonly agentClient: AgentClient}
  >();

  constructor(client: HttpClient, clusterKey: ClusterKey) {
    this.#client = client;
    this.#clusterKey = clusterKey;
  }

  /** Returns the client of an instance; creates a new one when the address of the instance has changed. */
  get(instance: Instance): AgentClient {
    const known = this.#connections.get(instance.name);
    if (known?.peer.address === instance.address) return known.agentClient;
    known?.peer[Symbol.dispose]();
    const peer = createPeer(instance.address, this.#clusterKey);
    const agentClient = createHttpAgentClient(this.#client, this.#clusterKey, peer);
    this.#connections.set(instance.name, {peer, agentClient});
    return agentClient;
  }

  /** Closes the connections to instances that are no longer listed. */
  retain(instances: readonly Instance[]): void {
    const names = new Set(instances.map(({name}) => name));
    for (const [name, {peer}] of this.#connections) {
      if (names.has(name)) continue;
      peer[Symbol.dispose]();
      this.#connections.delete(name);
    }
  }

  [Symbol.dispose](): void {
    for (const {peer} of this.#connections.values()) peer[Symbol.dispose]();
    this.#connections.clear();
  }
}
