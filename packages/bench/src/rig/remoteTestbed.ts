/** Runs a testbed in its own thread, so that the measured process has the main thread to itself. */
import {Worker} from 'node:worker_threads';
import type {StreamLoad, StreamTimes} from './streamLoad.js';
import type {TestbedOptions, TestbedAccess} from './testbed.js';

/** Commands of the testbed thread, with parameters and results. */
export interface TestbedCommands {
  readonly start: (options: TestbedOptions) => Promise<TestbedAccess>;
  readonly startEntry: () => Promise<string>;
  readonly list: (address: string, endpoints: number) => void;
  readonly commitTicket: () => Promise<number>;
  readonly connectPeers: (address: string, count: number) => Promise<void>;
  readonly probe: (count: number) => Promise<void>;
  readonly load: (load: StreamLoad) => Promise<StreamTimes>;
}

/** Message to the testbed thread. */
export interface TestbedRequest {
  readonly id: number;
  readonly command: keyof TestbedCommands;
  readonly params: readonly unknown[];
}

/** Message from the testbed thread; `error` is set when the command failed. */
export interface TestbedResponse {
  readonly id: number;
  readonly result?: unknown;
  readonly error?: string;
}

interface PendingCall {
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: Error) => void;
}

/** Client of a testbed thread; disposal terminates the thread. */
export class RemoteTestbed implements AsyncDisposable {
  readonly #worker = new Worker(new URL('./testbedThread.js', import.meta.url));
  readonly #pendingCalls = new Map<number, PendingCall>();
  #sequence = 0;

  constructor() {
    this.#worker.on('message', ({id, result, error}: TestbedResponse) => {
      const pendingCall = this.#pendingCalls.get(id);
      this.#pendingCalls.delete(id);
      if (error === undefined) pendingCall?.resolve(result);
      else pendingCall?.reject(new Error(error));
    });
    this.#worker.on('error', (error) => {
      for (const {reject} of this.#pendingCalls.values()) reject(error);
    });
  }

  /** Runs a command in the thread; rejects when the command fails. */
  call<C extends keyof TestbedCommands>(
    command: C,
    ...params: Parameters<TestbedCommands[C]>
  ): Promise<Awaited<ReturnType<TestbedCommands[C]>>> {
    this.#sequence += 1;
    const request: TestbedRequest = {id: this.#sequence, command, params};
    return new Promise((resolve, reject) => {
      const pendingCall = {resolve: resolve as (value: unknown) => void, reject};
      this.#pendingCalls.set(request.id, pendingCall);
      this.#worker.postMessage(request);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#worker.terminate();
  }
}
