/**
 * The configuration: the current state of each object. Objects are divided into shards, and the configuration's
 * digest covers the digests of the shards.
 */
import {type Digest, digestText, digestValue} from './digest.js';
import {type Kind, type ObjectState, objectSchemas} from './objects.js';

/** Number of shards; digests are computed and snapshots are stored per shard. */
export const shardCount = 256;

/** Number of later tickets for which a removal is kept, to detect conflicts with tickets on an older base. */
export const removalRetentionTickets = 10_000;

const SHARD_PREFIX_HEX_DIGITS = 2;
const HEX_RADIX = 16;

/** The new state of one object, or null when the object is removed. */
export interface Change {
  readonly kind: Kind;
  readonly name: string;
  readonly state: unknown;
}

/** An object of the configuration with its digest. */
export interface StoredObject {
  readonly kind: Kind;
  readonly name: string;
  /** The state as written in the ticket. */
  readonly rawState: unknown;
  /** The state with defaults filled in. */
  readonly state: unknown;
  readonly digest: Digest;
  /** Number of the ticket that set this state. */
  readonly number: number;
}

/** A removed object, kept to detect conflicts with tickets that are based on an older configuration. */
export interface Removal {
  readonly key: string;
  /** Number of the ticket that removed the object. */
  readonly number: number;
}

/** Serializable contents of one shard. */
export interface ShardContent {
  readonly objects: readonly Change[];
  /** Number of the ticket that set each object, in the order of the objects. */
  readonly numbers: readonly number[];
  readonly removals: readonly Removal[];
}

interface Shard {
  readonly objects: ReadonlyMap<string, StoredObject>;
  /** Number of the ticket that removed each object, by object key. */
  readonly removals: ReadonlyMap<string, number>;
  readonly digest: Digest;
}

interface MutableShard {
  readonly objects: Map<string, StoredObject>;
  readonly removals: Map<string, number>;
}

const emptyShard: Shard = {objects: new Map(), removals: new Map(), digest: digestText('')};

/** An immutable configuration; applying changes copies only the shards that they affect. */
export class Configuration {
  readonly #shards: readonly Shard[];
  readonly #statesByKind = new Map<Kind, ReadonlyMap<string, unknown>>();
  /** Digest of the list of shard digests. */
  readonly digest: Digest;

  private constructor(shards: readonly Shard[]) {
    this.#shards = shards;
    this.digest = digestText(shards.map((shard) => shard.digest).join(''));
  }

  /** The configuration before the first ticket. */
  static readonly empty = new Configuration(Array<Shard>(shardCount).fill(emptyShard));

  /** Loads a snapshot's shards; the caller must compare the resulting digest with the signed state digest. */
  static load(shards: readonly ShardContent[]): Configuration {
    return new Configuration(shards.map(loadShard));
  }

  /** Returns the configuration after a ticket's changes; the states must be valid. */
  apply(changes: readonly Change[], number: number): Configuration {
    const changedShards = new Map<number, MutableShard>();
    for (const change of changes) {
      const key = objectKey(change.kind, change.name);
      const index = shardIndex(key);
      const shard = changedShards.get(index) ?? this.#copyShard(index, number);
      changedShards.set(index, shard);
      if (change.state === null) {
        if (shard.objects.delete(key)) shard.removals.set(key, number);
      } else {
        shard.objects.set(key, createStoredObject(change, number));
        shard.removals.delete(key);
      }
    }
    const shards = [...this.#shards];
    for (const [index, shard] of changedShards)
      shards[index] = {...shard, digest: digestShard(shard)};
    return new Configuration(shards);
  }

  /** The state of an object with defaults filled in; undefined when it does not exist. */
  get<K extends Kind>(kind: K, name: string): ObjectState<K> | undefined {
    return this.find(kind, name)?.state as ObjectState<K> | undefined;
  }

  /** An object with its digest and ticket number; undefined when it does not exist. */
  find(kind: Kind, name: string): StoredObject | undefined {
    const key = objectKey(kind, name);
    return this.#shards[shardIndex(key)]?.objects.get(key);
  }

  /** States of all objects of a kind by name; computed once per kind. */
  all<K extends Kind>(kind: K): ReadonlyMap<string, ObjectState<K>> {
    const cached = this.#statesByKind.get(kind);
    if (cached !== undefined) return cached as ReadonlyMap<string, ObjectState<K>>;
    const states = new Map<string, ObjectState<K>>();
    for (const shard of this.#shards) {
      for (const object of shard.objects.values()) {
        if (object.kind === kind) states.set(object.name, object.state as ObjectState<K>);
      }
    }
    this.#statesByKind.set(kind, states);
    return states;
  }

  /**
   * Number of the ticket that last changed or removed an object; 0 when the object never existed or its removal is no
   * longer kept.
   */
  lastChange(kind: Kind, name: string): number {
    const key = objectKey(kind, name);
    const shard = this.#shards[shardIndex(key)];
    return shard?.objects.get(key)?.number ?? shard?.removals.get(key) ?? 0;
  }

  /** Returns the serializable contents of one shard, to be stored in a snapshot. */
  shard(index: number): ShardContent {
    const {objects, removals} = this.#shards[index] ?? emptyShard;
    const objectList = [...objects.values()];
    return {
      objects: objectList.map(({kind, name, rawState}) => ({kind, name, state: rawState})),
      numbers: objectList.map(({number}) => number),
      removals: [...removals].map(([key, number]) => ({key, number})),
    };
  }

  #copyShard(index: number, number: number): MutableShard {
    const {objects, removals} = this.#shards[index] ?? emptyShard;
    const keptRemovals = [...removals].filter(
      ([, removalNumber]) => removalNumber >= number - removalRetentionTickets,
    );
    return {objects: new Map(objects), removals: new Map(keptRemovals)};
  }
}

function loadShard({objects, numbers, removals}: ShardContent): Shard {
  const loaded: MutableShard = {objects: new Map(), removals: new Map()};
  for (const [index, change] of objects.entries()) {
    const object = createStoredObject(change, numbers[index] ?? 0);
    loaded.objects.set(objectKey(change.kind, change.name), object);
  }
  for (const {key, number} of removals) loaded.removals.set(key, number);
  return {...loaded, digest: digestShard(loaded)};
}

function createStoredObject(change: Change, number: number): StoredObject {
  const {kind, name, state: rawState} = change;
  const digest = digestValue({kind, name, state: rawState, number});
  return {kind, name, rawState, state: objectSchemas[kind].parse(rawState), number, digest};
}

function digestShard({objects, removals}: MutableShard): Digest {
  const lines: string[] = [];
  for (const [key, object] of objects) lines.push(`${key} ${object.digest}`);
  for (const [key, number] of removals) lines.push(`${key} removed ${number}`);
  return digestText(lines.sort().join('\n'));
}

/** Key of an object, unique among all kinds. */
export function objectKey(kind: Kind, name: string): string {
  return `${kind}/${name}`;
}

function shardIndex(key: string): number {
  return Number.parseInt(digestText(key).slice(0, SHARD_PREFIX_HEX_DIGITS), HEX_RADIX);
}
