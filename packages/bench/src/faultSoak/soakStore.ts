/** Writes to the key-value service what an operator and the endpoints would write during a fault soak. */
import {forwardKeys} from '@marigoldfold/entry';
import type {KeyValueCopy, MemoryKeyValue} from '@marigoldfold/standin';

/** Successive configuration versions route to these services in turn. */
export const SERVICE_COUNT = 3;

const timeouts = {timeoutMs: 4000, targetMs: 500};

/** Writes configurations and endpoint records; holds the newest version and its keys. */
export class SoakStore {
  readonly #store: MemoryKeyValue;
  /** What the store should have: the newest value of each key. */
  readonly #values = new Map<string, string>();
  #copy: KeyValueCopy;
  readonly #keys = ['key-1', 'key-2'];
  #lastKeyNumber = 2;
  version = 0;

  constructor(store: MemoryKeyValue) {
    this.#store = store;
    this.#copy = store.copy();
  }

  /** Takes a copy from which the store can be restored. */
  takeCopy(): void {
    this.#copy = this.#store.copy();
  }

  /** Restores the store from the last copy: what was written since is lost until `rewrite`. */
  restore(): void {
    this.#store.restore(this.#copy);
  }

  /** Writes again what the operator and the endpoints have written, as far as the store lacks it. */
  async rewrite(): Promise<void> {
    const {entries} = (await this.#store.list(forwardKeys.endpoints))._unsafeUnwrap();
    for (const {key, revision} of entries) {
      if (!this.#values.has(key)) await this.#store.remove(key, revision);
    }
    for (const [key, value] of this.#values) {
      const current = (await this.#store.get(key))._unsafeUnwrap();
      if (current?.value !== value) await this.#put(key, value);
    }
  }

  /** Service to which the newest configuration routes. */
  get service(): string {
    return `app-${this.version % SERVICE_COUNT}`;
  }

  /** Keys that the newest configuration accepts. */
  get keys(): readonly string[] {
    return this.#keys;
  }

  /** Writes a configuration whose version is `step` higher; returns the key that it revokes, if any. */
  async configure(step: number, revokes: boolean): Promise<string | undefined> {
    const revoked = revokes ? this.#keys.shift() : undefined;
    if (revokes) {
      this.#lastKeyNumber += 1;
      this.#keys.push(`key-${this.#lastKeyNumber}`);
    }
    this.version += step;
    await this.#put(forwardKeys.configuration, JSON.stringify(this.#configuration()));
    return revoked;
  }

  /** Registers an endpoint, or marks a registered one as leaving. */
  async register(id: string, service: string, address: string, isLeaving = false): Promise<void> {
    const record = {service, address, slots: 64, isLeaving, startedAtMs: 1};
    await this.#put(forwardKeys.endpoints + id, JSON.stringify(record));
  }

  async remove(id: string): Promise<void> {
    const key = forwardKeys.endpoints + id;
    this.#values.delete(key);
    const current = (await this.#store.get(key))._unsafeUnwrap();
    if (current !== undefined) await this.#store.remove(key, current.revision);
  }

  #configuration() {
    const {service} = this;
    const route = {
      host: 'soak.example',
      ...timeouts,
      priority: 1,
      shares: [{service, weight: 1}],
      maxAttempts: 2,
      allowsAnonymous: false,
      hasPromptParts: false,
      isResumable: false,
    };
    const services = Array.from({length: SERVICE_COUNT}, (_, index) => ({
      name: `app-${index}`,
      healthPath: '/health',
      connectionLimit: 400,
    }));
    return {
      version: this.version,
      routes: [
        {...route, name: 'read', prefix: '/read/', kind: 'idempotent'},
        {...route, name: 'post', prefix: '/post/', kind: 'nonIdempotent'},
        {...route, name: 'stream', prefix: '/stream/', kind: 'stream', isResumable: true},
      ],
      services,
      // The account is named after the version, so endpoints receive the version that a router uses.
      accounts: [{name: String(this.version), keys: this.#keys}],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 65_536,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15_000,
      },
    };
  }

  async #put(key: string, value: string): Promise<void> {
    this.#values.set(key, value);
    const current = (await this.#store.get(key))._unsafeUnwrap();
    await this.#store.write(key, value, {ifRevision: current?.revision ?? 0});
  }
}
