/** Limits the memory that clients and endpoints make a process hold, over everything that is held for them. */
import type {Clock} from '@marigoldfold/runtime';

/** Part of the budget that input which waits for room may have in addition. */
const WAITING_PART = 1 / 8;

/** What bytes are held for. */
export const holderKinds = ['body', 'head', 'readAhead', 'response', 'connection'] as const;

/** What the bytes of a holder are held for; a metric label. */
export type HolderKind = (typeof holderKinds)[number];

/** Why a holder was evicted. */
export type EvictionRule = 'stalled' | 'share' | 'largest';

/** Kind and owner of a holder, and its reaction to an eviction. */
export interface HolderOptions {
  readonly kind: HolderKind;
  /** Client address or account over which fairness is judged. */
  readonly owner: string;
  /** Called at most once, on eviction; the bytes are no longer counted and must be released. */
  readonly onEvicted: (rule: EvictionRule) => void;
}

/** A holder that was evicted. */
export interface Eviction {
  readonly kind: HolderKind;
  readonly owner: string;
  readonly rule: EvictionRule;
  readonly bytes: number;
}

/** Sizes and times of a budget. */
export interface MemoryBudgetOptions {
  readonly clock: Clock;
  readonly maxBytes: number;
  /** Part of the budget that only holders of at most `smallBytes` use. */
  readonly reservedBytes: number;
  readonly smallBytes: number;
  /** Time without progress after which a holder may be evicted by any other. */
  readonly stalledMs: number;
  /** Called for each eviction, before the holder's own callback. */
  readonly onEviction?: (eviction: Eviction) => void;
  /** Called when an eviction callback throws, which means a bug. */
  readonly onCallbackError?: (error: unknown) => void;
}

/** Largest holder that may use the reserved part of a budget, in bytes. */
const SMALL_BYTES = 65_536;
/** Time without progress after which a holder may be evicted by any other. */
const STALLED_MS = 5000;
/** Part of a budget that only small holders use. */
const RESERVED_PART = 1 / 4;

/** The usual options of a budget of this size. */
export function budgetOptions(
  clock: Clock,
  maxBytes: number,
): Omit<MemoryBudgetOptions, 'onEviction' | 'onCallbackError'> {
  return {
    clock,
    maxBytes,
    reservedBytes: maxBytes * RESERVED_PART,
    smallBytes: SMALL_BYTES,
    stalledMs: STALLED_MS,
  };
}

/** Bytes that are held for one purpose; disposing of the holder releases them. */
export interface MemoryHolder extends Disposable {
  /** Bytes held now; 0 after an eviction. */
  readonly bytes: number;
  /** Records how many bytes are held now. False: there is no room, and the holder keeps its former size. */
  resize(bytes: number): boolean;
  /** Records that the client or the endpoint has made progress. */
  recordProgress(): void;
  /** Excludes the holder from eviction: its request has been forwarded. */
  pin(): void;
  /** Allows eviction again. */
  unpin(): void;
}

/** What the holders of one owner hold together. */
interface OwnerUse {
  readonly name: string;
  holderCount: number;
  bytes: number;
}

/** What a budget does for its holders. */
interface HolderActions {
  readonly clock: Clock;
  readonly resize: (holder: HolderState, bytes: number) => boolean;
  readonly close: (holder: HolderState) => void;
}

/** State of a holder; a class, since holders are opened for each request. */
class HolderState implements MemoryHolder {
  readonly #actions: HolderActions;
  readonly options: HolderOptions;
  readonly owner: OwnerUse;
  bytes = 0;
  progressAtMs: number;
  isPinned = false;
  /** Position among the open holders; -1 once it is closed. */
  index: number;

  constructor(actions: HolderActions, options: HolderOptions, owner: OwnerUse, index: number) {
    this.#actions = actions;
    this.options = options;
    this.owner = owner;
    this.index = index;
    this.progressAtMs = actions.clock.now();
  }

  resize(bytes: number): boolean {
    return this.index >= 0 && this.#actions.resize(this, bytes);
  }

  recordProgress(): void {
    this.progressAtMs = this.#actions.clock.now();
  }

  pin(): void {
    this.isPinned = true;
  }

  unpin(): void {
    this.isPinned = false;
  }

  [Symbol.dispose](): void {
    this.#actions.close(this);
  }
}

/** Bytes that have to be released before a holder can grow. */
interface Shortage {
  /** Of any holders. */
  readonly bytes: number;
  /** Of holders of more than `smallBytes`. */
  readonly largeBytes: number;
}

interface Victim {
  readonly holder: HolderState;
  readonly rule: EvictionRule;
}

/** A byte budget over everything that is held for clients and endpoints. */
export class MemoryBudget {
  readonly #options: MemoryBudgetOptions;
  readonly #actions: HolderActions;
  /** Open holders, in no order. */
  readonly #holders: HolderState[] = [];
  readonly #owners = new Map<string, OwnerUse>();
  readonly #bytesByKind: Record<HolderKind, number> = {
    body: 0,
    head: 0,
    readAhead: 0,
    response: 0,
    connection: 0,
  };
  #usedBytes = 0;
  #waitingBytes = 0;
  /** Bytes of holders of more than `smallBytes`. */
  #largeBytes = 0;
  /** Number of owners that hold at least one byte. */
  #activeOwnerCount = 0;

  constructor(options: MemoryBudgetOptions) {
    this.#options = options;
    this.#actions = {
      clock: options.clock,
      resize: (holder, bytes) => this.#resize(holder, bytes),
      close: (holder) => {
        this.#close(holder);
      },
    };
  }

  /** Bytes that all holders hold. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Bytes that all holders may hold together. */
  get maxBytes(): number {
    return this.#options.maxBytes;
  }

  /** Time without progress after which a holder may be evicted by any other, in milliseconds. */
  get stalledMs(): number {
    return this.#options.stalledMs;
  }

  /** Bytes that the holders of a kind hold. */
  bytesOf(kind: HolderKind): number {
    return this.#bytesByKind[kind];
  }

  /**
   * Admits input that has been read, but waits for room; disposing of it ends the wait. It is not counted among the
   * used bytes. Undefined: so much input waits already that this one has to be refused.
   */
  admitWaiting(bytes: number): Disposable | undefined {
    if (this.#waitingBytes + bytes > this.#options.maxBytes * WAITING_PART) return undefined;
    this.#waitingBytes += bytes;
    let isWaiting = true;
    return {
      [Symbol.dispose]: () => {
        if (isWaiting) this.#waitingBytes -= bytes;
        isWaiting = false;
      },
    };
  }

  /** Opens a holder of no bytes. */
  open(options: HolderOptions): MemoryHolder {
    let owner = this.#owners.get(options.owner);
    if (owner === undefined) {
      owner = {name: options.owner, holderCount: 0, bytes: 0};
      this.#owners.set(options.owner, owner);
    }
    owner.holderCount += 1;
    const holder = new HolderState(this.#actions, options, owner, this.#holders.length);
    this.#holders.push(holder);
    return holder;
  }

  #resize(holder: HolderState, bytes: number): boolean {
    if (bytes > holder.bytes) {
      const shortage = this.#findShortage(holder, bytes);
      if (shortage.bytes > 0 || shortage.largeBytes > 0) {
        const victims = this.#findVictims(holder, bytes, shortage);
        if (victims === undefined) return false;
        this.#evict(victims, () => {
          this.#setBytes(holder, bytes);
        });
        return true;
      }
    }
    this.#setBytes(holder, bytes);
    return true;
  }

  #findShortage(holder: HolderState, bytes: number): Shortage {
    const {maxBytes, reservedBytes} = this.#options;
    const largeBytes = this.#largeBytes - this.#largePart(holder.bytes) + bytes;
    return {
      bytes: this.#usedBytes - holder.bytes + bytes - maxBytes,
      largeBytes: this.#largePart(bytes) > 0 ? largeBytes - (maxBytes - reservedBytes) : 0,
    };
  }

  /** The holders to evict so that a holder can grow, or undefined if that makes no room. */
  #findVictims(
    growing: HolderState,
    bytes: number,
    shortage: Shortage,
  ): readonly Victim[] | undefined {
    const {clock, stalledMs} = this.#options;
    const stalledSinceMs = clock.now() - stalledMs;
    const stalled: HolderState[] = [];
    const larger: HolderState[] = [];
    let releasableBytes = 0;
    let releasableLargeBytes = 0;
    for (const holder of this.#holders) {
      if (holder.isPinned || holder === growing || holder.bytes === 0) continue;
      // The small ones do not help a large one that lacks its own part of the budget.
      if (shortage.bytes <= 0 && this.#largePart(holder.bytes) === 0) continue;
      if (holder.progressAtMs <= stalledSinceMs) stalled.push(holder);
      else if (holder.bytes > bytes && this.#mayTakeFrom(growing, bytes, holder.owner))
        larger.push(holder);
      else continue;
      releasableBytes += holder.bytes;
      releasableLargeBytes += this.#largePart(holder.bytes);
    }
    if (releasableBytes < shortage.bytes || releasableLargeBytes < shortage.largeBytes)
      return undefined;
    return this.#chooseVictims(growing, bytes, shortage, {stalled, larger});
  }

  /**
   * Whether a growing holder may evict larger ones of an owner that make progress. A large one has to wait unless its own
   * owner stays within its share and the other one exceeds it: large uploads would end one another by turns otherwise,
   * each after most of it has been read.
   */
  #mayTakeFrom(growing: HolderState, bytes: number, owner: OwnerUse): boolean {
    if (this.#largePart(bytes) === 0) return true;
    const shareBytes = this.#shareBytes;
    return (
      owner !== growing.owner &&
      owner.bytes > shareBytes &&
      growing.owner.bytes - growing.bytes + bytes <= shareBytes
    );
  }

  /** Part of the budget for each owner that holds something. */
  get #shareBytes(): number {
    return this.#options.maxBytes / Math.max(1, this.#activeOwnerCount);
  }

  #chooseVictims(
    growing: HolderState,
    bytes: number,
    shortage: Shortage,
    {stalled, larger}: Readonly<Record<'stalled' | 'larger', HolderState[]>>,
  ): readonly Victim[] {
    const victims: Victim[] = [];
    const ownerBytes = new Map<OwnerUse, number>();
    const bytesOf = (owner: OwnerUse) => ownerBytes.get(owner) ?? owner.bytes;
    ownerBytes.set(growing.owner, growing.owner.bytes + bytes - growing.bytes);
    let missingBytes = shortage.bytes;
    let missingLargeBytes = shortage.largeBytes;
    const choose = (holder: HolderState, rule: EvictionRule) => {
      const largeBytes = this.#largePart(holder.bytes);
      // While only the large ones' part is short, evicting a small holder makes no room.
      if (missingBytes <= 0 && largeBytes === 0) return;
      victims.push({holder, rule});
      missingBytes -= holder.bytes;
      missingLargeBytes -= largeBytes;
      ownerBytes.set(holder.owner, bytesOf(holder.owner) - holder.bytes);
    };
    const isDone = () => missingBytes <= 0 && missingLargeBytes <= 0;
    for (const holder of stalled.toSorted((a, b) => a.progressAtMs - b.progressAtMs)) {
      if (isDone()) return victims;
      choose(holder, 'stalled');
    }
    const shareBytes = this.#shareBytes;
    const remaining = new Set(larger.toSorted((a, b) => b.bytes - a.bytes));
    while (!isDone()) {
      const [largest] = remaining;
      if (largest === undefined) break;
      let victim = largest;
      for (const holder of remaining) {
        if (bytesOf(holder.owner) > bytesOf(victim.owner)) victim = holder;
      }
      const isOverShare = bytesOf(victim.owner) > shareBytes;
      if (!isOverShare) victim = largest;
      remaining.delete(victim);
      choose(victim, isOverShare ? 'share' : 'largest');
    }
    return victims;
  }

  /** Evicts holders; their callbacks run when the budget is consistent again. */
  #evict(victims: readonly Victim[], onReleased: () => void): void {
    const evictions = victims.map(({holder, rule}) => {
      const {kind, owner} = holder.options;
      const eviction = {kind, owner, rule, bytes: holder.bytes};
      this.#close(holder);
      return {eviction, onEvicted: holder.options.onEvicted};
    });
    onReleased();
    const {onEviction, onCallbackError} = this.#options;
    for (const {eviction, onEvicted} of evictions) {
      try {
        onEviction?.(eviction);
        onEvicted(eviction.rule);
      } catch (error) {
        onCallbackError?.(error);
      }
    }
  }

  #close(holder: HolderState): void {
    const {index} = holder;
    if (index < 0) return;
    this.#setBytes(holder, 0);
    holder.index = -1;
    const last = this.#holders.pop();
    if (last !== undefined && last !== holder) {
      this.#holders[index] = last;
      last.index = index;
    }
    holder.owner.holderCount -= 1;
    if (holder.owner.holderCount === 0) this.#owners.delete(holder.owner.name);
  }

  #setBytes(holder: HolderState, bytes: number): void {
    const {owner, options} = holder;
    const change = bytes - holder.bytes;
    this.#usedBytes += change;
    this.#largeBytes += this.#largePart(bytes) - this.#largePart(holder.bytes);
    this.#bytesByKind[options.kind] += change;
    const wasActive = owner.bytes > 0;
    owner.bytes += change;
    if (wasActive !== owner.bytes > 0) this.#activeOwnerCount += wasActive ? -1 : 1;
    holder.bytes = bytes;
  }

  /** The bytes if they are more than a small holder has, else 0. */
  #largePart(bytes: number): number {
    return bytes > this.#options.smallBytes ? bytes : 0;
  }
}
