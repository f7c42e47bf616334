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
export interface Run {
  readonly id: string;
  readonly endpoint: string;
  /** Version of the configuration by which the request was forwarded. */
  readonly version: number;
  readonly atMs: number;
  /** Whether nothing held the request up between router and endpoint. */
  readonly isDirect: boolean;
}

/** What a caller got. */
export interface Got {
  readonly id: string;
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  readonly isWhole: boolean;
  readonly body: string;
  readonly atMs: number;
  /** Whether only planned work touched the router while it had the request. */
  readonly isPlannedOnly: boolean;
}

/** A promise that was not kept. */
export interface Breach {
  readonly rule: string;
  readonly id: string;
  readonly detail: string;
}

/** Times after which changes must have taken effect, in milliseconds. */
export interface HistoryBounds {
  readonly revocationMs: number;
  readonly drainMs: number;
  /** How long a request may take on its way, so that its version may be an older one. */
  readonly regressMs: number;
  /** How long after a caller has left its request may still be on its way. */
  readonly goneMs: number;
}

const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Gathers what was seen and judges it. */
export class History {
  readonly breaches: Breach[] = [];
  readonly #bounds: HistoryBounds;
  readonly #sent = new Map<string, SentRequest>();
  readonly #runs = new Map<string, Run[]>();
  readonly #leftAtMs = new Map<string, number>();
  readonly #refused = new Map<string, number>();
  readonly #revokedAtMs = new Map<string, number>();
  readonly #leavingAtMs = new Map<string, number>();
  /** Newest version seen through a router's lifetime, and when. */
  readonly #versions = new Map<string, {version: number; atMs: number}>();

  constructor(bounds: HistoryBounds) {
    this.#bounds = bounds;
  }

  get requests(): number {
    return this.#sent.size;
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
  onLeft(id: string, atMs: number): void {
    this.#leftAtMs.set(id, atMs);
  }

  onSent(request: SentRequest): void {
    this.#sent.set(request.id, request);
  }

  /** Takes the start of a run; `isInTouch` tells whether the router could know of an endpoint's leaving. */
  onRun(run: Run, isInTouch: (lifetime: string) => boolean): void {
    const {id, endpoint, version, atMs} = run;
    const request = this.#sent.get(id);
    if (request === undefined) {
      this.#add('unasked', id, `ran at ${endpoint}, and no caller sent it`);
      return;
    }
    const runs = this.#runs.get(id) ?? [];
    this.#runs.set(id, runs);
    runs.push(run);
    if (request.kind === 'nonIdempotent' && runs.length > 1) {
      this.#add('twice', id, `ran at ${runs.map((one) => one.endpoint).join(' and ')}`);
    }
    if (this.#refused.has(id) && request.kind === 'nonIdempotent') {
      this.#add('not run', id, `ran after status ${this.#refused.get(id)}`);
    }
    const revokedAtMs = this.#revokedAtMs.get(request.key) ?? Number.POSITIVE_INFINITY;
    if (request.atMs > revokedAtMs + this.#bounds.revocationMs) {
      this.#add(
        'revoked',
        id,
        `sent ${request.atMs - revokedAtMs} ms after its key was taken away`,
      );
    }
    const leavingAtMs = this.#leavingAtMs.get(endpoint) ?? Number.POSITIVE_INFINITY;
    if (atMs > leavingAtMs + this.#bounds.drainMs && isInTouch(request.lifetime)) {
      this.#add('leaving', id, `reached ${endpoint} ${atMs - leavingAtMs} ms after it left`);
    }
    if (run.isDirect) this.onWork(id, atMs);
    this.#checkVersion(request, version, atMs);
  }

  /** Takes that an endpoint begins or goes on with a request that nothing holds up on its way. */
  onWork(id: string, atMs: number): void {
    const leftAtMs = this.#leftAtMs.get(id) ?? Number.POSITIVE_INFINITY;
    if (atMs <= leftAtMs + this.#bounds.goneMs) return;
    this.#add('gone', id, `worked on ${atMs - leftAtMs} ms after its caller left`);
  }

  /** Takes what a caller got. */
  onGot(got: Got): void {
    const {id, status, isWhole, body, isPlannedOnly} = got;
    const request = this.#sent.get(id);
    const runs = this.#runs.get(id) ?? [];
    if (request === undefined) return;
    if (status === 200 && isWhole) this.#checkBody(request, runs, body);
    if (promises.has(status)) {
      this.#refused.set(id, status);
      if (request.kind === 'nonIdempotent' && runs.length > 0) {
        this.#add('not run', id, `status ${status} though it ran at ${runs[0]?.endpoint}`);
      }
    }
    if (isPlannedOnly && !isWhole && runs.length > 0) {
      this.#add('cut', id, `status ${status} and no whole answer beside planned work only`);
    }
  }

  #checkBody({id, kind}: SentRequest, runs: readonly Run[], body: string): void {
    if (kind === 'stream') {
      const numbers = [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number));
      const isInOrder = numbers.every((number, index) => number === index + 1);
      if (!isInOrder || !body.includes(`data: end of ${id}`)) {
        this.#add('order', id, `events ${numbers.join(',')}, ends with ${body.slice(-40)}`);
      }
      return;
    }
    if (!runs.some(({endpoint}) => body === answerOf(id, endpoint))) {
      this.#add('mixed', id, `got ${body.slice(0, 80)}`);
    }
  }

  #checkVersion({id, lifetime, atMs}: SentRequest, version: number, ranAtMs: number): void {
    const known = this.#versions.get(lifetime);
    if (known !== undefined && version < known.version) {
      if (atMs > known.atMs + this.#bounds.regressMs) {
        this.#add('regress', id, `version ${version} after ${known.version} in ${lifetime}`);
      }
      return;
    }
    if (version === known?.version) return;
    this.#versions.set(lifetime, {version, atMs: ranAtMs});
  }

  #add(rule: string, id: string, detail: string): void {
    this.breaches.push({rule, id, detail});
  }
}

/** The whole answer of an endpoint to a request. */
export function answerOf(id: string, endpoint: string): string {
  return `${id} ${endpoint} ${'x'.repeat(400)}.`;
}
