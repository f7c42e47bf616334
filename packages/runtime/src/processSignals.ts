/** Receives the signals of a process from its first line on, since the default action of each is to end the process. */

/** What the process does on each signal. */
export interface SignalHandlers {
  /** Called for SIGTERM. */
  readonly onStop: () => void;
  /** Called for SIGHUP. */
  readonly onReload: () => void;
}

/** Signals of one process. Those that arrive before the handlers are set are kept until then. */
export class ProcessSignals {
  #handlers: SignalHandlers | undefined;
  #isReceiving = false;
  #isStopRequested = false;
  #isReloadRequested = false;

  /** Whether SIGTERM has arrived. */
  get isStopRequested(): boolean {
    return this.#isStopRequested;
  }

  /** Starts to receive signals; call it before anything else is loaded. */
  receive(): void {
    if (this.#isReceiving) return;
    this.#isReceiving = true;
    // The listener stays, since without one a second SIGTERM would end the process in the middle of its stop.
    process.on('SIGTERM', () => {
      if (this.#isStopRequested) return;
      this.#isStopRequested = true;
      this.#handlers?.onStop();
    });
    process.on('SIGHUP', () => {
      this.#isReloadRequested = this.#handlers === undefined;
      this.#handlers?.onReload();
    });
  }

  /** Sets the handlers, and calls those whose signals have arrived before. */
  handle(handlers: SignalHandlers): void {
    this.receive();
    this.#handlers = handlers;
    if (this.#isReloadRequested) handlers.onReload();
    if (this.#isStopRequested) handlers.onStop();
  }
}

/** The signals of this process. */
export const processSignals = new ProcessSignals();
