/** Serves a delayed list of instances in the format of Prometheus HTTP service discovery. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Instance} from '@marigoldfold/protocol';
import {type Clock} from '@marigoldfold/runtime';
import {sendJson} from '@marigoldfold/transport';

/** A list of instances that publishes each change after a delay. */
export class LaggingInstanceList {
  readonly #clock: Clock;
  readonly #lagMs: number;
  readonly #instances = new Map<string, Instance>();
  #visible: readonly Instance[] = [];

  constructor(clock: Clock, lagMs: number) {
    this.#clock = clock;
    this.#lagMs = lagMs;
  }

  /** The published list; it lacks the changes made during the last `lagMs` milliseconds. */
  get visible(): readonly Instance[] {
    return this.#visible;
  }

  /** Adds or replaces an instance; published after the delay. */
  set(instance: Instance): void {
    this.#instances.set(instance.name, instance);
    this.#publishLater();
  }

  /** Removes an instance; published after the delay. */
  remove(name: string): void {
    this.#instances.delete(name);
    this.#publishLater();
  }

  #publishLater(): void {
    const instances = [...this.#instances.values()];
    if (this.#lagMs === 0) {
      this.#visible = instances;
      return;
    }
    this.#clock.schedule(this.#lagMs, () => {
      this.#visible = instances;
    });
  }
}

/** Creates the request handler of the list; it answers every path. */
export function serveInstanceList(list: LaggingInstanceList) {
  return (_request: IncomingMessage, response: ServerResponse): Promise<void> => {
    sendJson(response, 200, toTargetGroups(list.visible));
    return Promise.resolve();
  };
}

/** Converts instances to target groups, one per instance, with the fields as labels. */
export function toTargetGroups(instances: readonly Instance[]) {
  return instances.map((instance) => ({
    targets: [instance.address],
    labels: {
      instance: instance.name,
      role: instance.role,
      failure_domain: instance.failureDomain,
      region: instance.region,
      state: instance.state,
      ...(instance.endpoint === undefined ? {} : {endpoint: instance.endpoint}),
    },
  }));
}
