/** Runs router processes between callers and endpoints, injects faults and checks the history of requests. */
import {mkdirSync} from 'node:fs';
import {Agent} from 'node:http';
import {type Random, seededRandom, sleep, systemClock} from '@marigoldfold/runtime';
import {type KeyValueStandIn, startKeyValue} from '@marigoldfold/standin';
import {SoakEndpoint} from './soakEndpoint.js';
import {FaultInjector} from './faultInjector.js';
import {FaultyLink} from './faultyLink.js';
import {type GuaranteeViolation, RequestHistory, type SentRequest} from './history.js';
import {InputDelay} from './inputDelay.js';
import {RouterProcess} from './routerProcess.js';
import {call} from './soakCaller.js';
import {SERVICE_COUNT, SoakStore} from './soakStore.js';

/** Size and seed of a fault soak. */
export interface FaultSoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly routers: number;
  readonly callers: number;
  /** Whether restores of the store and limits of endpoints are among the faults. */
  readonly hasFurtherFaults: boolean;
  /** Whether preempted streams, signals during start-up and taken ports are among the planned work. */
  readonly hasReviewActions: boolean;
  /** Directory for the settings and logs of the routers. */
  readonly folder: string;
}

/** Request and fault counts of the run of one seed, with the guarantees that did not hold. */
export interface FaultSoakResult {
  readonly seed: number;
  readonly requests: number;
  readonly served: number;
  /** Number of injected actions by kind, planned work included. */
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly GuaranteeViolation[];
}

/** An endpoint with the faulty link through which routers connect to this endpoint. */
export interface LinkedEndpoint {
  readonly service: string;
  readonly endpoint: SoakEndpoint;
  readonly link: FaultyLink;
}

const ENDPOINTS_PER_SERVICE = 2;
/** Time in which a router must reject a revoked key; the default in the router's settings. */
const REVOCATION_MS = 5000;
/** Time in which a connected router must apply the drain of an endpoint, as for a configuration. */
const DRAIN_MS = 2000;
/** Time in which a connected router must apply a configuration; the default in the router's settings. */
const CONFIGURATION_MS = 2000;
const STALE_VERSION_MS = 250;
/** A request may still reach an endpoint for this time after its caller disconnected. */
const CANCELLATION_MS = 500;
/** Longest delay of a request by a disrupted link: the disruption itself and two retransmissions. */
const MAX_LINK_DELAY_MS = 4000;
/** Callers abort one of this many requests, after a random time of at most `MAX_DISCONNECT_AFTER_MS`. */
const DISCONNECT_ONE_IN = 6;
const MAX_DISCONNECT_AFTER_MS = 120;
/** All routers have reconnected to the key-value service this long after the last fault. */
const RECOVERY_MS = 3000;
const READY_POLL_MS = 50;
const START_TIMEOUT_MS = 30_000;
const RETRY_MS = 30;
/** Calls that take longer than this may fail during a planned stop, because the deadline of their caller passes. */
const MAX_UNCUT_CALL_MS = 3500;

/** Runs one seed; stops all processes afterwards, also on failure. */
export async function runFaultSoak(options: FaultSoakOptions): Promise<FaultSoakResult> {
  mkdirSync(options.folder, {recursive: true});
  const store = (await startKeyValue(systemClock))._unsafeUnwrap();
  const soak = new FaultSoak(options, store);
  try {
    return await soak.run();
  } finally {
    await soak.stop();
    store[Symbol.dispose]();
  }
}

class FaultSoak {
  readonly #options: FaultSoakOptions;
  readonly #random: Random;
  readonly #history = new RequestHistory({
    revocationMs: REVOCATION_MS,
    drainMs: DRAIN_MS,
    configurationMs: CONFIGURATION_MS,
    staleVersionMs: STALE_VERSION_MS,
    cancellationMs: CANCELLATION_MS,
  });
  readonly #store: SoakStore;
  readonly #routers: RouterProcess[] = [];
  readonly #endpoints: LinkedEndpoint[] = [];
  readonly #injector: FaultInjector;
  readonly #inputDelay = new InputDelay({clock: systemClock});
  #isStopping = false;
  #served = 0;
  #lastId = 0;

  constructor(options: FaultSoakOptions, store: KeyValueStandIn) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    this.#store = new SoakStore(store.implementation);
    for (let index = 1; index <= options.routers; index += 1) {
      const onEnded = (lifetime: string, reason: string) => {
        this.#history.onProcessEnded(lifetime, reason);
      };
      const {folder} = options;
      this.#routers.push(new RouterProcess(`router-${index}`, folder, store.address, onEnded));
    }
    this.#injector = new FaultInjector({
      random: seededRandom(options.seed + 1),
      store: this.#store,
      routers: this.#routers,
      endpoints: this.#endpoints,
      history: this.#history,
      hasFurtherFaults: options.hasFurtherFaults,
      hasReviewActions: options.hasReviewActions,
    });
  }

  async run(): Promise<FaultSoakResult> {
    await this.#start();
    const callers = Array.from({length: this.#options.callers}, () => this.#runCaller());
    await this.#injector.run(this.#options.durationMs);
    this.#isStopping = true;
    await Promise.all(callers);
    const {seed} = this.#options;
    const {requests, violations} = this.#history;
    return {
      seed,
      requests,
      served: this.#served,
      faults: this.#injector.counts,
      violations,
    };
  }

  async stop(): Promise<void> {
    this.#inputDelay[Symbol.dispose]();
    for (const router of this.#routers) await router.stop();
    for (const {endpoint, link} of this.#endpoints) {
      link[Symbol.dispose]();
      endpoint[Symbol.dispose]();
    }
  }

  async #start(): Promise<void> {
    for (let index = 0; index < SERVICE_COUNT * ENDPOINTS_PER_SERVICE; index += 1) {
      await this.#addEndpoint(`app-${index % SERVICE_COUNT}`, `e${index + 1}`);
    }
    await this.#store.configure(1, false);
    for (const router of this.#routers) {
      await router.prepare();
      router.start();
    }
    for (const router of this.#routers) await this.#waitUntilReady(router);
  }

  async #addEndpoint(service: string, id: string): Promise<void> {
    const link = new FaultyLink(() => endpoint.address, this.#inputDelay);
    const isUndelayed = () =>
      systemClock.now() - Math.max(link.disruptedAtMs, this.#inputDelay.lastLagAtMs) >
      MAX_LINK_DELAY_MS;
    const endpoint = new SoakEndpoint({
      random: this.#random,
      inputDelay: this.#inputDelay,
      onRun: ({account, port, waitMs, ...run}) => {
        const observed = {
          ...run,
          version: Number(account),
          atMs: systemClock.now(),
          unreadMs: waitMs + link.takeWaitMs(port),
          isUndelayed: isUndelayed(),
        };
        this.#history.onRun(observed, () => this.#injector.isFaultFree(RECOVERY_MS));
      },
      onWorkContinued: (requestId) => {
        // A paused router does not close the connection of a request whose caller disconnected, so continued work is
        // checked only without faults. `onRun` checks runs that start after the pause.
        if (isUndelayed() && this.#injector.isFaultFree(RECOVERY_MS)) {
          this.#history.onWorkContinued(requestId, systemClock.now());
        }
      },
    });
    await endpoint.listen();
    endpoint.id = id;
    await link.listen();
    this.#endpoints.push({service, endpoint, link});
    await this.#store.register(id, service, link.address);
  }

  async #waitUntilReady({readyPort, lifetime}: RouterProcess): Promise<void> {
    for (let waitedMs = 0; waitedMs < START_TIMEOUT_MS; waitedMs += READY_POLL_MS) {
      const ready = await fetch(`http://127.0.0.1:${readyPort}/ready`).catch(() => undefined);
      if (ready?.ok === true) return;
      await sleep(systemClock, READY_POLL_MS);
    }
    throw new Error(`${lifetime} is not ready after ${START_TIMEOUT_MS} ms; see its log`);
  }

  async #runCaller(): Promise<void> {
    const agents = new Map<RouterProcess, Agent>();
    while (!this.#isStopping) {
      const router = this.#routers[Math.floor(this.#random() * this.#routers.length)];
      if (router === undefined) return;
      let agent = agents.get(router);
      if (agent === undefined) {
        agent = new Agent({keepAlive: true, maxSockets: 1});
        agents.set(router, agent);
      }
      const status = await this.#callOnce(router, agent);
      if (status !== 200) await sleep(systemClock, RETRY_MS);
    }
    for (const agent of agents.values()) agent.destroy();
  }

  async #callOnce(router: RouterProcess, agent: Agent): Promise<number> {
    const request = this.#nextRequest(router);
    this.#history.onSent(request);
    const {id, key, kind} = request;
    const [method, path] = {
      idempotent: ['GET', '/read/x'],
      nonIdempotent: ['POST', '/post/x'],
      stream: ['GET', '/stream/x'],
    }[kind] as [string, string];
    const {clientPort: port} = router;
    const disconnects = Math.floor(this.#random() * DISCONNECT_ONE_IN) === 0;
    const disconnectAfterMs = disconnects ? this.#random() * MAX_DISCONNECT_AFTER_MS : undefined;
    const onDisconnected = () => {
      this.#history.onCallerDisconnected(id, systemClock.now());
    };
    const outcome = await call({
      agent,
      port,
      method,
      path,
      id,
      key,
      disconnectAfterMs,
      onDisconnected,
    });
    const atMs = systemClock.now();
    const hadOnlyPlannedWork =
      !outcome.hasDisconnected &&
      this.#injector.isFaultFree(atMs - request.atMs + RECOVERY_MS) &&
      atMs - request.atMs < MAX_UNCUT_CALL_MS &&
      router.lifetime === request.lifetime;
    this.#history.onOutcome({id, ...outcome, atMs, hadOnlyPlannedWork});
    if (outcome.status === 200 && outcome.isComplete) this.#served += 1;
    return outcome.status;
  }

  #nextRequest(router: RouterProcess): SentRequest {
    this.#lastId += 1;
    const kinds = ['idempotent', 'nonIdempotent', 'stream'] as const;
    const kind = kinds[Math.floor(this.#random() * kinds.length)] ?? 'idempotent';
    // Some requests use the key that was revoked last.
    const keys = [...this.#store.keys, ...this.#injector.revokedKeys.slice(-1)];
    const key = keys[Math.floor(this.#random() * keys.length)] ?? '';
    const id = `s${this.#options.seed}-${this.#lastId}`;
    return {id, kind, key, lifetime: router.lifetime, atMs: systemClock.now()};
  }
}
