/** Runs several routers that share a clock, a store and their endpoints. */
import {createSocket} from 'node:dgram';
import {
  type ClientResult,
  createRoutingConfiguration,
  ForwardRig,
  type RigOptions,
} from './forwardRig.js';
import type {RoutingConfiguration} from '@marigoldfold/state';

/** Returns a free UDP port of the loopback interface. */
async function findFreePort(): Promise<number> {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  const {port} = socket.address();
  await new Promise<void>((resolve) => {
    socket.close(resolve);
  });
  return port;
}

/** Routers of one fleet; endpoints are added to the first one's rig. */
export class ForwardFleet {
  readonly rigs: readonly ForwardRig[];
  #requestCount = 0;

  private constructor(rigs: readonly ForwardRig[]) {
    this.rigs = rigs;
  }

  /** Creates routers named `front-1` and so on, without starting them. */
  static async create(
    count: number,
    options: Pick<RigOptions, 'duties'> = {},
  ): Promise<ForwardFleet> {
    const rigs: ForwardRig[] = [];
    for (let number = 1; number <= count; number += 1) {
      const peerAddress = `127.0.0.1:${await findFreePort()}`;
      const [sharedWith] = rigs;
      const name = `front-${number}`;
      rigs.push(
        new ForwardRig({
          ...options,
          name,
          peerAddress,
          ...(sharedWith === undefined ? {} : {sharedWith}),
        }),
      );
    }
    return new ForwardFleet(rigs);
  }

  get first(): ForwardRig {
    const [first] = this.rigs;
    if (first === undefined) throw new Error('a fleet has at least one router');
    return first;
  }

  /** Writes a configuration, starts all routers and lets them find each other. */
  async start(configuration: RoutingConfiguration = createRoutingConfiguration()): Promise<void> {
    await this.first.configure(configuration);
    for (const rig of this.rigs) await rig.start('none');
    await this.first.advance(1000);
  }

  /** Sends one request to each router every `gapMs` for `durationMs` of the virtual clock. */
  async sendAtRate(
    durationMs: number,
    gapMs: number,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<readonly ClientResult[]> {
    const pending: Promise<ClientResult>[] = [];
    for (let passed = 0; passed < durationMs; passed += gapMs) {
      for (const rig of this.rigs) {
        this.#requestCount += 1;
        pending.push(rig.sendRequest({'x-id': `f${this.#requestCount}`, ...headers}));
      }
      await this.first.advance(gapMs);
    }
    await this.first.advance(1000);
    return Promise.all(pending);
  }

  async stop(): Promise<void> {
    await Promise.all(this.rigs.map((rig) => rig.stop()));
  }
}
