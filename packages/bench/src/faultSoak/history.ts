/** Checks the promises of the product by what callers and endpoints have seen. */

/** A request of a caller. */
export interface SentRequest {
  readonly id: string;
  readonly kind: 'idempotent' | 'nonIdempotent' | 'stream';
  readonly key: string;
  /** One lifetime of one router. */
  readonly lifetime: string;
  readonly atMs: number;
}

/** A request as an endpoint began to work on it. */
export interface EndpointRun {
  readonly id: string;
  readonly endpoint: string;
  /** Version of the configuration by which the request was forwarded. */
  readonly version: number;
  readonly atMs: number;
  /** Whether nothing held the request up between router and endpoint. */
  readonly isUndelayed: boolean;
}

/** What a caller got. */
export interface CallerOutcome {
  readonly id: string;
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  readonly isComplete: boolean;
  readonly body: string;
  readonly atMs: number;
  /** Whether only planned work touched the router while it had the request. */
  readonly hadOnlyPlannedWork: boolean;
}

/** A promise that was not kept. */
export interface GuaranteeViolation {
  readonly rule: string;
  readonly id: string;
  readonly detail: string;
}

/** Times after which changes must have taken effect, in milliseconds. */
export interface HistoryBounds {
  readonly revocationMs: number;
  readonly drainMs: number;
  /** How long a request may take on its way, so that its version may be an older one. */
  readonly staleVersionMs: number;
  /** How long after a caller has left its request may still be on its way. */
  readonly cancellationMs: number;
}

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Gathers what was seen and judges it. */
export class History {
  readonly violations: GuaranteeViolation[] = [];
  readonly #bounds: HistoryBounds;
  readonly #sentRequests = new Map<string, SentRequest>();
  readonly #runsByRequest = new Map<string, EndpointRun[]>();
  readonly #disconnectedAtMs = new Map<string, number>();
  readonly #refusedStatuses = new Map<string, number>();
  readonly #revokedAtMs = new Map<string, number>();
  readonly #leavingAtMs = new Map<string, number>();
  /** Newest version seen through a router's lifetime, and when. */
  readonly #newestVersions = new Map<string, {version: number; atMs: number}>();

  constructor(bounds: HistoryBounds) {
    this.#bounds = bounds;
  }

  get requests(): number {
    return this.#sentRequests.size;
  }

  /** A key that must not work any more; the time is that of the store's acceptance. */
  onRevoked(key: string, atMs: number): void {
    this.#revokedAtMs.set(key, atMs);
  }

  /** An endpoint that leaves, as the store has accepted. */
  onLeaving(endpoint: string, atMs: number): void {
    this.#leavingAtMs.set(endpoint, atMs);
  }

  /** A caller that has closed its connection. */
  onCallerDisconnected(id: string, atMs: number): void {
    this.#disconnectedAtMs.set(id, atMs);
  }

  onSent(request: SentRequest): void {
    this.#sentRequests.set(request.id, request);
  }

  /** Takes the start of a run; `isInTouch` tells whether the router could know of an endpoint's leaving. */
  onRun(run: EndpointRun, isConnected: (lifetime: string) => boolean): void {
    const {id, endpoint, version, atMs} = run;
    const request = this.#sentRequests.get(id);
    if (request === undefined) {
      this.#addViolation('unasked', id, `ran at ${endpoint}, and no caller sent it`);
      return;
    }
    const runs = this.#runsByRequest.get(id) ?? [];
    this.#runsByRequest.set(id, runs);
    runs.push(run);
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
        `sent ${request.atMs - revokedAtMs} ms after its key was taken away`,
      );
    }
    const leavingAtMs = this.#leavingAtMs.get(endpoint) ?? Number.POSITIVE_INFINITY;
    if (atMs > leavingAtMs + this.#bounds.drainMs && isConnected(request.lifetime)) {
      this.#addViolation(
        'leaving',
        id,
        `reached ${endpoint} ${atMs - leavingAtMs} ms after it left`,
      );
    }
    if (run.isUndelayed) this.onWorkContinued(id, atMs);
    this.#checkVersion(request, version, atMs);
  }

  /** Takes that an endpoint begins or goes on with a request that nothing holds up on its way. */
  onWorkContinued(id: string, atMs: number): void {
    const disconnectedAtMs = this.#disconnectedAtMs.get(id) ?? Number.POSITIVE_INFINITY;
    if (atMs <= disconnectedAtMs + this.#bounds.cancellationMs) return;
    this.#addViolation('gone', id, `worked on ${atMs - disconnectedAtMs} ms after its caller left`);
  }

  /** Takes what a caller got. */
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
        `status ${status} and no whole answer beside planned work only`,
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

/** The whole answer of an endpoint to a request. */
export function responseBody(id: string, endpoint: string): string {
  return `${id} ${endpoint} ${'x'.repeat(400)}.`;
}
