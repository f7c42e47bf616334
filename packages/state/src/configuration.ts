/** The configuration: the newest state of each object, kept in shards with a two-level digest. */
import {type Digest, digestText, digestValue} from './digest.js';
import {type Kind, type ObjectState, objectSchemas} from './objects.js';

/** Number of shards; a shard is the unit of hashing and of snapshots. */
export const shardCount = 256;

/** Tickets for which the removal of an object is remembered, so that an older base still conflicts. */
export const removalRetentionTickets = 10_000;

const SHARD_PREFIX_HEX_DIGITS = 2;
const HEX_RADIX = 16;

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
  readonly rawState: unknown;
  /** The state with defaults filled in. */
  readonly state: unknown;
  readonly digest: Digest;
  /** Number of the ticket that brought this state. */
  readonly number: number;
}

/** A removed object, remembered for the sake of conflicts. */
export interface Removal {
  readonly key: string;
  /** Number of the ticket that removed the object. */
  readonly number: number;
}

/** One shard as a snapshot carries it. */
export interface ShardContent {
  readonly objects: readonly Change[];
  /** Ticket numbers of the objects, in their order. */
  readonly numbers: readonly number[];
  readonly removals: readonly Removal[];
}

interface Shard {
  readonly objects: ReadonlyMap<string, StoredObject>;
  /** Ticket number of each remembered removal, by object key. */
  readonly removals: ReadonlyMap<string, number>;
  readonly digest: Digest;
}

interface MutableShard {
  readonly objects: Map<string, StoredObject>;
  readonly removals: Map<string, number>;
}

const emptyShard: Shard = {objects: new Map(), removals: new Map(), digest: digestText('')};

/** An immutable configuration; applying changes costs in proportion to them. */
export class Configuration {
  readonly #shards: readonly Shard[];
  readonly #statesByKind = new Map<Kind, ReadonlyMap<string, unknown>>();
  /** Digest over all objects. */
  readonly digest: Digest;

  private constructor(shards: readonly Shard[]) {
    this.#shards = shards;
    this.digest = digestText(shards.map((shard) => shard.digest).join(''));
  }

  /** The configuration before the first ticket. */
  static readonly empty = new Configuration(Array<Shard>(shardCount).fill(emptyShard));

  /** The configuration in a snapshot; the caller compares its digest with the one that was signed. */
  static load(shards: readonly ShardContent[]): Configuration {
    return new Configuration(shards.map(loadShard));
  }

  /** The configuration after changes made by a ticket; the states must have been checked. */
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

  /** The state of an object. */
  get<K extends Kind>(kind: K, name: string): ObjectState<K> | undefined {
    return this.find(kind, name)?.state as ObjectState<K> | undefined;
  }

  /** An object with its digest and the ticket that it came from. */
  find(kind: Kind, name: string): StoredObject | undefined {
    const key = objectKey(kind, name);
    return this.#shards[shardIndex(key)]?.objects.get(key);
  }

  /** All objects of a kind by name. */
  all<K extends Kind>(kind: K): ReadonlyMap<string, ObjectState<K>> {
    const cached = this.#statesByKind.get(kind);
    if (cached !== undefined) return cached as ReadonlyMap<string, ObjectState<K>>;
    const found = new Map<string, ObjectState<K>>();
    for (const shard of this.#shards) {
      for (const object of shard.objects.values()) {
        if (object.kind === kind) found.set(object.name, object.state as ObjectState<K>);
      }
    }
    this.#statesByKind.set(kind, found);
    return found;
  }

  /** Number of the ticket that last changed or removed an object; 0 when none is remembered. */
  lastChange(kind: Kind, name: string): number {
    const key = objectKey(kind, name);
    const shard = this.#shards[shardIndex(key)];
    return shard?.objects.get(key)?.number ?? shard?.removals.get(key) ?? 0;
  }

  /** One shard as a snapshot carries it. */
  shard(index: number): ShardContent {
    const {objects, removals} = this.#shards[index] ?? emptyShard;
    const stored = [...objects.values()];
    return {
      objects: stored.map(({kind, name, rawState}) => ({kind, name, state: rawState})),
      numbers: stored.map(({number}) => number),
      removals: [...removals].map(([key, number]) => ({key, number})),
    };
  }

  #copyShard(index: number, number: number): MutableShard {
    const {objects, removals} = this.#shards[index] ?? emptyShard;
    const remembered = [...removals].filter(
      ([, removed]) => removed >= number - removalRetentionTickets,
    );
    return {objects: new Map(objects), removals: new Map(remembered)};
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

/** The key of an object among all kinds. */
export function objectKey(kind: Kind, name: string): string {
  return `${kind}/${name}`;
}

function shardIndex(key: string): number {
  return Number.parseInt(digestText(key).slice(0, SHARD_PREFIX_HEX_DIGITS), HEX_RADIX);
}
