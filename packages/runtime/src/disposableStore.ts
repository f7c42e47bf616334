/** Collects the resources of a component, to release them with one call. */

/** Disposes of its members in reverse order; members added after disposal are disposed of immediately. */
export class DisposableStore implements Disposable {
  readonly #members: Disposable[] = [];
  #isDisposed = false;

  get isDisposed(): boolean {
    return this.#isDisposed;
  }

  /** Adds a member and returns it. */
  add<T extends Disposable>(member: T): T {
    if (this.#isDisposed) member[Symbol.dispose]();
    else this.#members.push(member);
    return member;
  }

  /** Adds an action to run on disposal. */
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
