/** Limits the memory for parts of responses that are kept until the rest arrives, over all responses of a process. */

/** A response may always keep this much, so that large ones cannot take it from small ones; in bytes. */
const GUARANTEED_BYTES = 65_536;

/** Bytes that responses may keep together, beside what each may always keep. */
export class BufferBudget {
  readonly #maxBytes: number;
  #usedBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes that all responses keep. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Opens the share of one response; disposing of it releases its bytes. */
  open(): BufferShare {
    let bytes = 0;
    const resize = (newBytes: number) => {
      this.#usedBytes += newBytes - bytes;
      bytes = newBytes;
      return bytes <= GUARANTEED_BYTES || this.#usedBytes <= this.#maxBytes;
    };
    return {
      resize,
      [Symbol.dispose]: () => void resize(0),
    };
  }
}

/** What one response keeps. */
export interface BufferShare extends Disposable {
  /** Records how many bytes the response keeps; returns whether it may keep them. */
  readonly resize: (bytes: number) => boolean;
}
