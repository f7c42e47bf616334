/** The configuration: the newest state of each object, kept in shards with a two-level digest. */
import {type Digest, digestText, digestValue} from './digest.js';
import {type Kind, type ObjectState, objectSchemas} from './objects.js';

/** Number of shards; a shard is the unit of hashing and of snapshots. */
export const shardCount = 256;

const SHARD_PREFIX_HEX = 2;
const HEX = 16;

/** The new state of one object, or null when the object is removed. */
export interface Change {
  readonly kind: Kind;
  readonly name: string;
  readonly state: unknown;
}

/** An object with its digest. */
export interface StoredObject {
  readonly kind: Kind;
  readonly name: string;
  /** The state as the ticket wrote it. */
  readonly written: unknown;
  /** The state with defaults filled in. */
  readonly state: unknown;
  readonly digest: Digest;
  /** Number of the ticket that brought this state. */
  readonly number: number;
}

interface Shard {
  readonly objects: ReadonlyMap<string, StoredObject>;
  readonly digest: Digest;
}

const emptyShard: Shard = {objects: new Map(), digest: digestText('')};

/** An immutable configuration; applying changes costs in proportion to them. */
export class Configuration {
  readonly #shards: readonly Shard[];
  readonly #byKind = new Map<Kind, ReadonlyMap<string, unknown>>();
  /** Digest over all objects. */
  readonly digest: Digest;

  private constructor(shards: readonly Shard[]) {
    this.#shards = shards;
    this.digest = digestText(shards.map((shard) => shard.digest).join(''));
  }

  /** The configuration before the first ticket. */
  static readonly empty = new Configuration(Array<Shard>(shardCount).fill(emptyShard));

  /** The configuration after changes made by a ticket; the states must have been checked. */
  apply(changes: readonly Change[], number: number): Configuration {
    const touched = new Map<number, Map<string, StoredObject>>();
    for (const change of changes) {
      const key = objectKey(change.kind, change.name);
      const index = shardOf(key);
      const objects = touched.get(index) ?? new Map(this.#shards[index]?.objects);
      touched.set(index, objects);
      if (change.state === null) objects.delete(key);
      else objects.set(key, store(change, number));
    }
    const shards = [...this.#shards];
    for (const [index, objects] of touched) shards[index] = {objects, digest: digestShard(objects)};
    return new Configuration(shards);
  }

  /** The state of an object. */
  get<K extends Kind>(kind: K, name: string): ObjectState<K> | undefined {
    return this.find(kind, name)?.state as ObjectState<K> | undefined;
  }

  /** An object with its digest and the ticket that it came from. */
  find(kind: Kind, name: string): StoredObject | undefined {
    const key = objectKey(kind, name);
    return this.#shards[shardOf(key)]?.objects.get(key);
  }

  /** All objects of a kind by name. */
  all<K extends Kind>(kind: K): ReadonlyMap<string, ObjectState<K>> {
    const known = this.#byKind.get(kind);
    if (known !== undefined) return known as ReadonlyMap<string, ObjectState<K>>;
    const found = new Map<string, ObjectState<K>>();
    for (const shard of this.#shards) {
      for (const object of shard.objects.values()) {
        if (object.kind === kind) found.set(object.name, object.state as ObjectState<K>);
      }
    }
    this.#byKind.set(kind, found);
    return found;
  }

  /** The objects of one shard. */
  shard(index: number): readonly StoredObject[] {
    return [...(this.#shards[index]?.objects.values() ?? [])];
  }
}

function store(change: Change, number: number): StoredObject {
  const {kind, name, state: written} = change;
  const digest = digestValue({kind, name, state: written, number});
  return {kind, name, written, state: objectSchemas[kind].parse(written), number, digest};
}

function digestShard(objects: ReadonlyMap<string, StoredObject>): Digest {
  const lines: string[] = [];
  for (const [key, object] of objects) lines.push(`${key} ${object.digest}`);
  return digestText(lines.sort().join('\n'));
}

/** The key of an object among all kinds. */
export function objectKey(kind: Kind, name: string): string {
  return `${kind}/${name}`;
}

function shardOf(key: string): number {
  return Number.parseInt(digestText(key).slice(0, SHARD_PREFIX_HEX), HEX);
}
