/** Gathers what a component owns, so that one call releases all of it. */

/** Disposes of its members in reverse order of addition; members added after disposal are disposed of at once. */
export class DisposableStore implements Disposable {
  readonly #members: Disposable[] = [];
  #isDisposed = false;

  /** Whether the store has been disposed of. */
  get isDisposed(): boolean {
    return this.#isDisposed;
  }

  /** Adds a member and returns it. */
  add<T extends Disposable>(member: T): T {
    if (this.#isDisposed) member[Symbol.dispose]();
    else this.#members.push(member);
    return member;
  }

  /** Adds a clean-up action. */
  defer(action: () => void): void {
    this.add({[Symbol.dispose]: action});
  }

  [Symbol.dispose](): void {
    if (this.#isDisposed) return;
    this.#isDisposed = true;
    for (const member of this.#members.reverse()) member[Symbol.dispose]();
    this.#members.length = 0;
  }
}
