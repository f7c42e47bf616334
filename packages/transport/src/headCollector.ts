/** Collects a head that arrives in parts, so that it is parsed, into many times its memory, only when it is whole. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Ends of an empty line behind a line; the parser also accepts lines that end without a carriage return. */
const EMPTY_LINE = Buffer.from('\n\r\n');
const BARE_EMPTY_LINE = Buffer.from('\n\n');
const MIN_CAPACITY_BYTES = 1024;
const EMPTY = Buffer.alloc(0);

/** Index behind the empty line that ends a head; undefined if it has not arrived. */
export function findHeadEnd(input: Buffer): number | undefined {
  const end = input.indexOf(EMPTY_LINE);
  const bareEnd = input.indexOf(BARE_EMPTY_LINE);
  if (bareEnd >= 0 && (end < 0 || bareEnd < end)) return bareEnd + BARE_EMPTY_LINE.length;
  return end < 0 ? undefined : end + EMPTY_LINE.length;
}

/** A head of which a part has arrived. */
export class HeadCollector {
  #buffer = EMPTY;
  #size = 0;
  /** The last two bytes that were collected or parsed. */
  #lastByte: number | undefined;
  #nextToLastByte: number | undefined;

  /** Number of bytes collected. */
  get size(): number {
    return this.#size;
  }

  /** Memory that the collected bytes occupy. */
  get heldBytes(): number {
    return this.#buffer.length;
  }

  /** Number of bytes of the input that belong to the head; undefined if its end is not among them. */
  findEnd(input: Buffer): number | undefined {
    return this.#findStraddlingEnd(input) ?? findHeadEnd(input);
  }

  /** Keeps a copy of the input. */
  add(input: Buffer): void {
    const size = this.#size + input.length;
    if (size > this.#buffer.length) {
      const larger = Buffer.allocUnsafeSlow(
        Math.max(MIN_CAPACITY_BYTES, size, 2 * this.#buffer.length),
      );
      this.#buffer.copy(larger, 0, 0, this.#size);
      this.#buffer = larger;
    }
    input.copy(this.#buffer, this.#size);
    this.#size = size;
    this.recordParsed(input);
  }

  /** The collected bytes with the input behind them; nothing is kept any more. */
  complete(input: Buffer): Buffer {
    if (this.#size === 0) return input;
    this.add(input);
    const whole = this.#buffer.subarray(0, this.#size);
    this.clear();
    return whole;
  }

  /** Notes input that is parsed without being collected. */
  recordParsed(input: Buffer): void {
    this.#nextToLastByte = input.length > 1 ? input.at(-2) : this.#lastByte;
    this.#lastByte = input.at(-1) ?? this.#lastByte;
  }

  /** Discards what is collected. */
  clear(): void {
    this.#buffer = EMPTY;
    this.#size = 0;
  }

  /** Like `findEnd`, for an empty line that began before the input. */
  #findStraddlingEnd(input: Buffer): number | undefined {
    const endsLine = this.#lastByte === LINE_FEED;
    if (input[0] === LINE_FEED) {
      const endsEmptyLine =
        this.#lastByte === CARRIAGE_RETURN && this.#nextToLastByte === LINE_FEED;
      return endsLine || endsEmptyLine ? 1 : undefined;
    }
    return endsLine && input[0] === CARRIAGE_RETURN && input[1] === LINE_FEED ? 2 : undefined;
  }
}
