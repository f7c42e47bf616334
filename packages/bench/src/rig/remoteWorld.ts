/** A world in a thread of its own, so that the measured process has its thread to itself. */
import {Worker} from 'node:worker_threads';
import type {StreamLoad, StreamTimes} from './streamLoad.js';
import type {WorldOptions, WorldPlaces} from './world.js';

/** What a world can be asked to do, with parameters and result. */
export interface WorldCommands {
  readonly start: (options: WorldOptions) => Promise<WorldPlaces>;
  readonly startEntry: () => Promise<string>;
  readonly list: (address: string, endpoints: number) => void;
  readonly commitTicket: () => Promise<number>;
  readonly connectPeers: (address: string, count: number) => Promise<void>;
  readonly probe: (count: number) => Promise<void>;
  readonly load: (load: StreamLoad) => Promise<StreamTimes>;
}

/** A command on its way to the thread. */
export interface WorldRequest {
  readonly id: number;
  readonly command: keyof WorldCommands;
  readonly params: readonly unknown[];
}

/** What the thread answers. */
export interface WorldAnswer {
  readonly id: number;
  readonly result?: unknown;
  readonly error?: string;
}

interface Waiting {
  readonly resolve: (value: unknown) => void;
  readonly reject: (error: Error) => void;
}

/** The measured thread's handle on a world. */
export class RemoteWorld implements AsyncDisposable {
  readonly #worker = new Worker(new URL('./worldThread.js', import.meta.url));
  readonly #waiting = new Map<number, Waiting>();
  #sequence = 0;

  constructor() {
    this.#worker.on('message', ({id, result, error}: WorldAnswer) => {
      const waiting = this.#waiting.get(id);
      this.#waiting.delete(id);
      if (error === undefined) waiting?.resolve(result);
      else waiting?.reject(new Error(error));
    });
    this.#worker.on('error', (error) => {
      for (const {reject} of this.#waiting.values()) reject(error);
    });
  }

  /** Has the thread do something. */
  call<C extends keyof WorldCommands>(
    command: C,
    ...params: Parameters<WorldCommands[C]>
  ): Promise<Awaited<ReturnType<WorldCommands[C]>>> {
    this.#sequence += 1;
    const request: WorldRequest = {id: this.#sequence, command, params};
    return new Promise((resolve, reject) => {
      const waiting = {resolve: resolve as (value: unknown) => void, reject};
      this.#waiting.set(request.id, waiting);
      this.#worker.postMessage(request);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#worker.terminate();
  }
}
