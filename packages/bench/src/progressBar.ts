/** A progress bar on a terminal. */

const WIDTH = 30;
const PERCENT = 100;
const ERASE_LINE = '\r\u001b[K';

/** Shows how much is done; on anything but a terminal it shows nothing. */
export class ProgressBar implements Disposable {
  readonly #stream: NodeJS.WriteStream;

  constructor(stream: NodeJS.WriteStream) {
    this.#stream = stream;
  }

  /** Shows a part between 0 and 1. */
  show(part: number, label: string): void {
    if (!this.#stream.isTTY) return;
    const filled = Math.round(part * WIDTH);
    const bar = '#'.repeat(filled).padEnd(WIDTH, '-');
    this.#stream.write(`${ERASE_LINE}[${bar}] ${Math.round(part * PERCENT)}% ${label}`);
  }

  [Symbol.dispose](): void {
    if (this.#stream.isTTY) this.#stream.write(ERASE_LINE);
  }
}
