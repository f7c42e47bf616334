/** Shows the progress of long runs in a terminal. */

const WIDTH = 30;
const PERCENT = 100;
const ERASE_LINE = '\r\u001b[K';

/** Redraws one line of a terminal; writes nothing if the stream is not a TTY. */
export class ProgressBar implements Disposable {
  readonly #stream: NodeJS.WriteStream;

  constructor(stream: NodeJS.WriteStream) {
    this.#stream = stream;
  }

  /** Draws a fraction between 0 and 1 with a label. */
  show(fraction: number, label: string): void {
    if (!this.#stream.isTTY) return;
    const filled = Math.round(fraction * WIDTH);
    const bar = '#'.repeat(filled).padEnd(WIDTH, '-');
    this.#stream.write(`${ERASE_LINE}[${bar}] ${Math.round(fraction * PERCENT)}% ${label}`);
  }

  [Symbol.dispose](): void {
    if (this.#stream.isTTY) this.#stream.write(ERASE_LINE);
  }
}
