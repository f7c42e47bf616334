/** Injects planned work and faults into a running soak in an order given by the seed. */
import {once} from 'node:events';
import {createServer} from 'node:net';
import {type Random, sleep, systemClock} from '@marigoldfold/runtime';
import type {EndpointBehaviour} from './soakEndpoint.js';
import type {LinkedEndpoint} from './faultSoak.js';
import type {FaultyLink, LinkMode} from './faultyLink.js';
import type {RequestHistory} from './history.js';
import type {RouterProcess} from './routerProcess.js';
import type {SoakStore} from './soakStore.js';

/** Routers, endpoints and store that the injector acts on, and the history that records its changes. */
export interface FaultInjectorOptions {
  readonly random: Random;
  readonly store: SoakStore;
  readonly routers: readonly RouterProcess[];
  readonly endpoints: readonly LinkedEndpoint[];
  readonly history: RequestHistory;
  /** Whether restores of the store and limits of endpoints are among the faults. */
  readonly hasFurtherFaults: boolean;
  /** Whether preempted streams, signals during start-up and taken ports are among the planned work. */
  readonly hasReviewActions: boolean;
}

/** Longest pause between two actions. */
const MAX_PAUSE_MS = 700;
/** Duration of a phase. Phases that have only planned work alternate with phases that also inject faults. */
const PHASE_MS = 6000;
/** Pause between phases; disrupted connections recover during this time. */
const PHASE_PAUSE_MS = 3500;
const MAX_FAULT_MS = 2500;
const LIMIT_PER_SECOND = 3;
const LIMIT_MS = 8000;
/** All routers have had a response that states the limit after this time. */
const LIMIT_KNOWN_MS = 3000;
/** Longest time until what a restore of the store has lost is written again. */
const MAX_REWRITE_MS = 1000;
const RESTART_PAUSE_MS = 300;
/** A draining endpoint keeps serving requests for this time. */
const ENDPOINT_DRAIN_MS = 3500;
const MAX_VERSION_STEP = 2;
/** Callers would leave a stream that is silent for 2 s. */
const MAX_PREEMPTION_MS = 1900;
/** Time for which another process has a port of a router that starts. */
const MAX_PORT_TAKEN_MS = 2500;

type Action = () => Promise<void>;

/** Runs random actions; drains, restarts, pauses and link faults run one at a time on each target. */
export class FaultInjector {
  readonly counts: Record<string, number> = {};
  readonly revokedKeys: string[] = [];
  readonly #options: FaultInjectorOptions;
  readonly #pending = new Set<Promise<void>>();
  readonly #busySubjects = new Set<unknown>();
  #activeFaults = 0;
  #lastFaultEndMs = Number.NEGATIVE_INFINITY;
  #lastEndpointNumber = 0;

  constructor(options: FaultInjectorOptions) {
    this.#options = options;
  }

  /** Whether no fault has been active for the given number of milliseconds. */
  isFaultFree(forMs: number): boolean {
    return this.#activeFaults === 0 && systemClock.now() - this.#lastFaultEndMs >= forMs;
  }

  /** Starts actions for the given time, then waits until all of them have ended. */
  async run(durationMs: number): Promise<void> {
    const endMs = systemClock.now() + durationMs;
    let isPlanned = true;
    while (systemClock.now() < endMs) {
      const phaseEndMs = Math.min(endMs, systemClock.now() + PHASE_MS);
      while (systemClock.now() < phaseEndMs) {
        this.#startAction(isPlanned);
        await sleep(systemClock, this.#options.random() * MAX_PAUSE_MS);
      }
      await Promise.all(this.#pending);
      if (systemClock.now() < endMs) await sleep(systemClock, PHASE_PAUSE_MS);
      isPlanned = !isPlanned;
    }
    await Promise.all(this.#pending);
  }

  #startAction(isPlanned: boolean): void {
    const planned: Record<string, Action> = {
      configuration: () => this.#configure(false),
      revocation: () => this.#configure(true),
      leaving: () => this.#drainEndpoint(),
      planned_stop: () => this.#restart('SIGTERM'),
      reload: () => this.#reload(),
    };
    const review: Record<string, Action> = {
      preemption: () => this.#preemptStreams(),
      early_reload: () => this.#signalEarly('SIGHUP'),
      early_stop: () => this.#signalEarly('SIGTERM'),
      taken_port: () => this.#restartBesidePort(),
    };
    const unplanned: Record<string, Action> = {
      kill: () => this.#restart('SIGKILL'),
      pause: () => this.#pause(),
      store_link: () => this.#disruptLink(this.#pick(this.#options.routers)?.storeLink),
      endpoint_link: () => this.#disruptLink(this.#pick(this.#options.endpoints)?.link),
      conduct: () => this.#disturbEndpoint(),
    };
    const further: Record<string, Action> = {
      restore: () => this.#restoreStore(),
      limit: () => this.#limitEndpoint(),
    };
    const faults = this.#options.hasFurtherFaults ? {...unplanned, ...further} : unplanned;
    const work = this.#options.hasReviewActions ? {...planned, ...review} : planned;
    const actions = Object.entries(isPlanned ? work : {...work, ...faults});
    const [name, action] = this.#pick(actions) ?? ['', () => Promise.resolve()];
    this.counts[name] = (this.counts[name] ?? 0) + 1;
    const isFault = name in faults;
    if (isFault) this.#activeFaults += 1;
    const pending = action().then(() => {
      this.#pending.delete(pending);
      if (!isFault) return;
      this.#activeFaults -= 1;
      this.#lastFaultEndMs = systemClock.now();
    });
    this.#pending.add(pending);
  }

  async #configure(revokes: boolean): Promise<void> {
    const {store, history} = this.#options;
    const revoked = await store.configure(
      1 + Math.floor(this.#options.random() * MAX_VERSION_STEP),
      revokes,
    );
    history.onConfigured(store.version, systemClock.now());
    if (revoked === undefined) return;
    this.revokedKeys.push(revoked);
    history.onRevoked(revoked, systemClock.now());
  }

  /** Drains an endpoint, removes it and registers it again under a new id. */
  async #drainEndpoint(): Promise<void> {
    const {store, history, endpoints} = this.#options;
    const linked = this.#pick(endpoints);
    if (linked === undefined) return;
    await this.#runExclusively(linked, async () => {
      const {endpoint, service, link} = linked;
      const {id} = endpoint;
      await store.register(id, service, link.address, true);
      history.onLeaving(id, systemClock.now());
      await sleep(systemClock, ENDPOINT_DRAIN_MS);
      await store.remove(id);
      this.#lastEndpointNumber += 1;
      endpoint.id = `n${this.#lastEndpointNumber}`;
      await store.register(endpoint.id, service, link.address);
    });
  }

  async #restart(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const router = this.#pick(this.#options.routers);
    if (router === undefined) return;
    await this.#runExclusively(router, async () => {
      if (signal === 'SIGTERM') await router.terminate();
      else await router.kill();
      await sleep(systemClock, RESTART_PAUSE_MS);
      router.start();
    });
  }

  /** Lets the streams of the service in use be silent, as when all its engines are overloaded. */
  #preemptStreams(): Promise<void> {
    const {endpoints, store, random} = this.#options;
    const durationMs = random() * MAX_PREEMPTION_MS;
    for (const {endpoint, service} of endpoints) {
      if (service === store.service) endpoint.preemptStreams(durationMs);
    }
    return Promise.resolve();
  }

  /** Restarts a router, and sends it a signal as soon as its process receives signals at all. */
  async #signalEarly(signal: 'SIGHUP' | 'SIGTERM'): Promise<void> {
    const router = this.#pick(this.#options.routers);
    if (router === undefined) return;
    await this.#runExclusively(router, async () => {
      await router.terminate();
      router.start();
      await router.receivesSignals();
      router.signal(signal);
      if (signal === 'SIGHUP') return;
      await router.exited();
      router.start();
    });
  }

  /** Restarts a router while another process has one of its ports for a moment. */
  async #restartBesidePort(): Promise<void> {
    const router = this.#pick(this.#options.routers);
    if (router === undefined) return;
    await this.#runExclusively(router, async () => {
      await router.terminate();
      const other = createServer((socket) => {
        socket.destroy();
      });
      other.listen(this.#pick(router.ports), '127.0.0.1');
      await once(other, 'listening');
      router.start();
      await sleep(systemClock, this.#options.random() * MAX_PORT_TAKEN_MS);
      other.close();
    });
  }

  async #pause(): Promise<void> {
    const router = this.#pick(this.#options.routers);
    if (router === undefined) return;
    await this.#runExclusively(router, async () => {
      router.signal('SIGSTOP');
      await sleep(systemClock, this.#options.random() * MAX_FAULT_MS);
      router.signal('SIGCONT');
    });
  }

  #reload(): Promise<void> {
    const router = this.#pick(this.#options.routers);
    // SIGHUP ends a process until Node.js runs its first line.
    if (router !== undefined && !this.#busySubjects.has(router) && router.hasStarted) {
      router.signal('SIGHUP');
    }
    return Promise.resolve();
  }

  async #disruptLink(link: FaultyLink | undefined): Promise<void> {
    if (link === undefined) return;
    await this.#runExclusively(link, async () => {
      const modes: LinkMode[] = [
        {kind: 'delay', ms: 50 + this.#options.random() * 500},
        {kind: 'silent'},
        {kind: 'noAnswers'},
        {kind: 'reset'},
      ];
      link.mode = this.#pick(modes) ?? {kind: 'pass'};
      await sleep(systemClock, this.#options.random() * MAX_FAULT_MS);
      link.mode = {kind: 'pass'};
    });
  }

  async #disturbEndpoint(): Promise<void> {
    const linked = this.#pick(this.#options.endpoints);
    if (linked === undefined) return;
    const behaviours: EndpointBehaviour[] = [
      'garbage',
      'extraAnswer',
      'halfAnswer',
      'full',
      'resetAfterRun',
      'endlessHead',
      'endlessBody',
    ];
    linked.endpoint.behaviour = this.#pick(behaviours) ?? 'well';
    await sleep(systemClock, this.#options.random() * MAX_FAULT_MS);
    linked.endpoint.behaviour = 'well';
  }

  /** Restores the store from a copy up to `MAX_FAULT_MS` old; what is lost is written again a little later. */
  async #restoreStore(): Promise<void> {
    const {store, random} = this.#options;
    await this.#runExclusively(store, async () => {
      store.takeCopy();
      await sleep(systemClock, random() * MAX_FAULT_MS);
      store.restore();
      await sleep(systemClock, random() * MAX_REWRITE_MS);
      await store.rewrite();
    });
  }

  /** Lets an endpoint state a limit, and checks the requests that it gets once all routers know of it. */
  async #limitEndpoint(): Promise<void> {
    const {store, endpoints} = this.#options;
    // The other services get no requests until the next version of the configuration.
    const linked = this.#pick(endpoints.filter(({service}) => service === store.service));
    if (linked === undefined) return;
    await this.#runExclusively(linked, async () => {
      const {endpoint} = linked;
      const fromMs = systemClock.now() + LIMIT_KNOWN_MS;
      endpoint.limitPerSecond = LIMIT_PER_SECOND;
      await sleep(systemClock, LIMIT_MS);
      endpoint.limitPerSecond = undefined;
      const {history} = this.#options;
      history.onLimited(endpoint.id, LIMIT_PER_SECOND, fromMs, systemClock.now());
    });
  }

  /** Runs an action, or skips it while another action runs on the same router, endpoint or link. */
  async #runExclusively(subject: unknown, action: Action): Promise<void> {
    if (this.#busySubjects.has(subject)) return;
    this.#busySubjects.add(subject);
    await action();
    this.#busySubjects.delete(subject);
  }

  #pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#options.random() * items.length)];
  }
}
