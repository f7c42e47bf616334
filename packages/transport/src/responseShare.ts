/** What a response to a forwarded request may keep in memory until the rest arrives. */
import type {MemoryBudget} from './memoryBudget.js';

/** A response may always keep this much, so that large ones cannot take it from small ones; in bytes. */
const GUARANTEED_BYTES = 65_536;

/** What one response keeps until the rest arrives; disposing of it releases its bytes. */
export interface BufferShare extends Disposable {
  /** Records how many bytes the response keeps; returns whether it may keep them. */
  readonly resize: (bytes: number) => boolean;
}

/** Opens the share of a response to a request that has been forwarded; it is never evicted. */
export function openResponseShare(budget: MemoryBudget, owner: string): BufferShare {
  const holder = budget.open({kind: 'response', owner, onEvicted: () => undefined});
  holder.pin();
  return {
    resize: (bytes) => bytes === holder.bytes || holder.resize(bytes) || bytes <= GUARANTEED_BYTES,
    [Symbol.dispose]: () => {
      holder[Symbol.dispose]();
    },
  };
}
