/** Checks the router's guarantees against what callers and endpoints observed. */

/** A request sent by a caller. */
export interface SentRequest {
  readonly id: string;
  readonly kind: 'idempotent' | 'nonIdempotent' | 'stream';
  readonly key: string;
  /** The router process that received the request; a restart begins a new lifetime. */
  readonly lifetime: string;
  readonly atMs: number;
}

/** The start of a request's execution at an endpoint. */
export interface EndpointRun {
  readonly id: string;
  readonly endpoint: string;
  /** Version of the configuration that the router used to forward the request. */
  readonly version: number;
  readonly atMs: number;
  /** Longest time in milliseconds for which the request may have waited until the soak read it. */
  readonly unreadMs: number;
  /** Whether nothing else delayed the request between router and endpoint. */
  readonly isUndelayed: boolean;
}

/** The result of a request at its caller. */
export interface CallerOutcome {
  readonly id: string;
  /** HTTP status; 0 when the connection ended without a response. */
  readonly status: number;
  readonly isComplete: boolean;
  readonly body: string;
  readonly atMs: number;
  /** Whether no fault was active, only planned work such as drains and reloads, while the router had the request. */
  readonly hadOnlyPlannedWork: boolean;
}

/** A guarantee that did not hold for a request. */
export interface GuaranteeViolation {
  readonly rule: string;
  readonly id: string;
  readonly detail: string;
}

/** Times in milliseconds after which a change must have taken effect. */
export interface HistoryBounds {
  readonly revocationMs: number;
  readonly drainMs: number;
  readonly configurationMs: number;
  /** Maximum time from router to endpoint; until then, a request forwarded with an older version may still arrive. */
  readonly staleVersionMs: number;
  /** Time for which a request may stay in transit after its caller disconnected. */
  readonly cancellationMs: number;
}

/** Requests that an endpoint with a limit may get in any window: the ratio of what the limit allows, and some more. */
const LIMIT_WINDOW_MS = 4000;
const LIMIT_RATIO = 1.5;
const LIMIT_SLACK = 5;

/** Statuses by which the router states that the request did not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Collects observations and checks each of them against the guarantees. */
export class RequestHistory {
  readonly violations: GuaranteeViolation[] = [];
  readonly #bounds: HistoryBounds;
  readonly #sentRequests = new Map<string, SentRequest>();
  readonly #runsByRequest = new Map<string, EndpointRun[]>();
  readonly #runTimesMs = new Map<string, number[]>();
  readonly #disconnectedAtMs = new Map<string, number>();
  /** Longest `unreadMs` of the runs of a request; the endpoint reads the end of its connection as late. */
  readonly #unreadMs = new Map<string, number>();
  readonly #refusedStatuses = new Map<string, number>();
  readonly #revokedAtMs = new Map<string, number>();
  /** Times at which versions of the configuration were accepted. */
  readonly #configuredAtMs = new Map<number, number>();
  readonly #leavingAtMs = new Map<string, number>();
  /** Newest configuration version by router lifetime, with the time at which it was first seen. */
  readonly #newestVersions = new Map<string, {version: number; atMs: number}>();

  constructor(bounds: HistoryBounds) {
    this.#bounds = bounds;
  }

  get requests(): number {
    return this.#sentRequests.size;
  }

  /** Records a revoked key; the time is that of the accepted store write. */
  onRevoked(key: string, atMs: number): void {
    this.#revokedAtMs.set(key, atMs);
  }

  /** Records a version of the configuration; the time is that of the accepted store write. */
  onConfigured(version: number, atMs: number): void {
    this.#configuredAtMs.set(version, atMs);
  }

  /** Records an endpoint that drains; the time is that of the accepted store write. */
  onLeaving(endpoint: string, atMs: number): void {
    this.#leavingAtMs.set(endpoint, atMs);
  }

  /** Checks the runs at an endpoint that has stated a limit, in requests per second, from one time to another. */
  onLimited(endpoint: string, perSecond: number, fromMs: number, toMs: number): void {
    const allowed = LIMIT_RATIO * perSecond * (LIMIT_WINDOW_MS / 1000) + LIMIT_SLACK;
    const timesMs = (this.#runTimesMs.get(endpoint) ?? []).filter(
      (timeMs) => timeMs >= fromMs && timeMs < toMs,
    );
    for (const [index, startMs] of timesMs.entries()) {
      const rest = timesMs.slice(index);
      const count = rest.filter((timeMs) => timeMs < startMs + LIMIT_WINDOW_MS).length;
      if (count <= allowed) continue;
      const detail = `${endpoint} ran ${count} requests in ${LIMIT_WINDOW_MS} ms, ${allowed} allowed`;
      this.#addViolation('limit', '', detail);
      return;
    }
  }

  /** Records that a router process ended by itself. */
  onProcessEnded(lifetime: string, reason: string): void {
    this.#addViolation('ended', '', `${lifetime} ${reason}`);
  }

  /** Records that a caller closed its connection. */
  onCallerDisconnected(id: string, atMs: number): void {
    this.#disconnectedAtMs.set(id, atMs);
  }

  onSent(request: SentRequest): void {
    this.#sentRequests.set(request.id, request);
  }

  /** Checks the start of a run; `isConnected` returns whether the router could receive the drain of an endpoint. */
  onRun(run: EndpointRun, isConnected: (lifetime: string) => boolean): void {
    const {id, endpoint, version, atMs, unreadMs} = run;
    const request = this.#sentRequests.get(id);
    if (request === undefined) {
      this.#addViolation('unasked', id, `ran at ${endpoint}, but no caller sent it`);
      return;
    }
    const runs = this.#runsByRequest.get(id) ?? [];
    this.#runsByRequest.set(id, runs);
    runs.push(run);
    const runTimesMs = this.#runTimesMs.get(endpoint) ?? [];
    this.#runTimesMs.set(endpoint, runTimesMs);
    runTimesMs.push(atMs);
    this.#unreadMs.set(id, Math.max(unreadMs, this.#unreadMs.get(id) ?? 0));
    if (request.kind === 'nonIdempotent' && runs.length > 1) {
      this.#addViolation('twice', id, `ran at ${runs.map((one) => one.endpoint).join(' and ')}`);
    }
    if (this.#refusedStatuses.has(id) && request.kind === 'nonIdempotent') {
      this.#addViolation('not run', id, `ran after status ${this.#refusedStatuses.get(id)}`);
    }
    const revokedAtMs = this.#revokedAtMs.get(request.key) ?? Number.POSITIVE_INFINITY;
    if (request.atMs > revokedAtMs + this.#bounds.revocationMs) {
      this.#addViolation(
        'revoked',
        id,
        `sent ${request.atMs - revokedAtMs} ms after its key was revoked`,
      );
    }
    const leavingAtMs = this.#leavingAtMs.get(endpoint) ?? Number.POSITIVE_INFINITY;
    if (atMs > leavingAtMs + this.#bounds.drainMs && isConnected(request.lifetime)) {
      this.#addViolation(
        'leaving',
        id,
        `reached ${endpoint} ${atMs - leavingAtMs} ms after it began to drain`,
      );
    }
    for (const [newer, configuredAtMs] of this.#configuredAtMs) {
      const isDue = newer > version && request.atMs > configuredAtMs + this.#bounds.configurationMs;
      if (!isDue || !isConnected(request.lifetime)) continue;
      const ageMs = request.atMs - configuredAtMs;
      this.#addViolation('outdated', id, `version ${version} ${ageMs} ms after version ${newer}`);
      break;
    }
    if (run.isUndelayed) this.onWorkContinued(id, atMs);
    this.#checkVersion(request, version, atMs);
  }

  /** Checks that an endpoint works on an undelayed request only while its caller is connected. */
  onWorkContinued(id: string, atMs: number): void {
    const disconnectedAtMs = this.#disconnectedAtMs.get(id) ?? Number.POSITIVE_INFINITY;
    const unreadMs = this.#unreadMs.get(id) ?? 0;
    if (atMs - unreadMs <= disconnectedAtMs + this.#bounds.cancellationMs) return;
    this.#addViolation(
      'gone',
      id,
      `worked on ${atMs - disconnectedAtMs} ms after its caller disconnected, unread for at most ${unreadMs} ms`,
    );
  }

  /** Checks the result of a request at its caller. */
  onOutcome(outcome: CallerOutcome): void {
    const {id, status, isComplete, body, hadOnlyPlannedWork} = outcome;
    const request = this.#sentRequests.get(id);
    const runs = this.#runsByRequest.get(id) ?? [];
    if (request === undefined) return;
    if (status === 200 && isComplete) this.#checkBody(request, runs, body);
    if (notRunStatuses.has(status)) {
      this.#refusedStatuses.set(id, status);
      if (request.kind === 'nonIdempotent' && runs.length > 0) {
        this.#addViolation('not run', id, `status ${status} though it ran at ${runs[0]?.endpoint}`);
      }
    }
    if (hadOnlyPlannedWork && !isComplete && runs.length > 0) {
      this.#addViolation(
        'cut',
        id,
        `status ${status} and an incomplete response during planned work only`,
      );
    }
  }

  #checkBody({id, kind}: SentRequest, runs: readonly EndpointRun[], body: string): void {
    if (kind === 'stream') {
      const numbers = [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number));
      const isInOrder = numbers.every((number, index) => number === index + 1);
      if (!isInOrder || !body.includes(`data: end of ${id}`)) {
        this.#addViolation(
          'order',
          id,
          `events ${numbers.join(',')}, ends with ${body.slice(-40)}`,
        );
      }
      return;
    }
    if (!runs.some(({endpoint}) => body === responseBody(id, endpoint))) {
      this.#addViolation('mixed', id, `got ${body.slice(0, 80)}`);
    }
  }

  #checkVersion({id, lifetime, atMs}: SentRequest, version: number, ranAtMs: number): void {
    const newest = this.#newestVersions.get(lifetime);
    if (newest !== undefined && version < newest.version) {
      if (atMs > newest.atMs + this.#bounds.staleVersionMs) {
        this.#addViolation(
          'regress',
          id,
          `version ${version} after ${newest.version} in ${lifetime}`,
        );
      }
      return;
    }
    if (version === newest?.version) return;
    this.#newestVersions.set(lifetime, {version, atMs: ranAtMs});
  }

  #addViolation(rule: string, id: string, detail: string): void {
    this.violations.push({rule, id, detail});
  }
}

/** The complete response body of an endpoint to a request that is not a stream. */
export function responseBody(id: string, endpoint: string): string {
  return `${id} ${endpoint} ${'x'.repeat(400)}.`;
}
