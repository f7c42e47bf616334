/** What a response to a forwarded request may keep in memory until the rest arrives. */
import type {HeaderLines} from './headerLines.js';
import type {MemoryBudget} from './memoryBudget.js';

/** A response may always keep this much of its body, so that large ones cannot take it from small ones; in bytes. */
const GUARANTEED_BYTES = 65_536;

/** What one response keeps until the rest arrives; disposing of it releases its bytes. */
export interface BufferShare extends Disposable {
  /** Records how many bytes of its body the response keeps; returns whether it may keep them. */
  readonly resize: (bytes: number) => boolean;
}

/** Copies of a response's head: its lines, and what is sent of them. */
const HEAD_COPIES = 2;

/**
 * Opens the share of a response to a request that has been forwarded, with the lines of its head; it is never evicted.
 */
export function openResponseShare(
  budget: MemoryBudget,
  owner: string,
  lines?: HeaderLines,
): BufferShare {
  const holder = budget.open({kind: 'response', owner, onEvicted: () => undefined});
  holder.pin();
  const headBytes = HEAD_COPIES * (lines?.bytes ?? 0);
  holder.resize(headBytes);
  return {
    resize: (bodyBytes) => {
      const bytes = headBytes + bodyBytes;
      return bytes === holder.bytes || holder.resize(bytes) || bodyBytes <= GUARANTEED_BYTES;
    },
    [Symbol.dispose]: () => {
      holder[Symbol.dispose]();
    },
  };
}
