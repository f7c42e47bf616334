/** Measures the processor time, memory and socket bytes of the calling thread. */
import {subscribe} from 'node:diagnostics_channel';
import {readFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const NS_PER_MS = 1_000_000;
const LOOPBACK_PORTS = /:(\d+)$/;

/**
 * Processor time of the main thread in milliseconds, as the kernel counts it. Other threads of the process,
 * such as those of a testbed or of the garbage collector, are not included.
 */
export function mainThreadCpuMs(): number {
  const path = `/proc/self/task/${process.pid}/schedstat`;
  return Number(readFileSync(path, 'utf8').split(' ')[0]) / NS_PER_MS;
}

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes in the heap and buffers of the calling thread after a garbage collection. */
export function measureRetainedBytes(): number {
  collectGarbage();
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

interface Ports {
  readonly local: number | undefined;
  readonly remote: number | undefined;
}

/** Counts bytes on the sockets that the calling thread opens after construction, by the port at either end. */
export class SocketMeter {
  readonly #open = new Map<Socket, Ports>();
  readonly #closedBytes = new Map<number, number>();

  constructor() {
    subscribe('net.client.socket', (message) => {
      const {socket} = message as {readonly socket: Socket};
      socket.once('connect', () => {
        this.#watch(socket);
      });
    });
    subscribe('net.server.socket', (message) => {
      this.#watch((message as {readonly socket: Socket}).socket);
    });
  }

  /** Bytes in both directions on all connections that have the port of an address at one end. */
  bytes(address: string): number {
    const port = Number(LOOPBACK_PORTS.exec(address)?.[1]);
    let total = this.#closedBytes.get(port) ?? 0;
    for (const [socket, {local, remote}] of this.#open) {
      if (local === port || remote === port) total += bytesOf(socket);
    }
    return total;
  }

  #watch(socket: Socket): void {
    const ports = {local: socket.localPort, remote: socket.remotePort};
    this.#open.set(socket, ports);
    socket.once('close', () => {
      this.#open.delete(socket);
      for (const port of [ports.local, ports.remote]) {
        if (port === undefined) continue;
        this.#closedBytes.set(port, (this.#closedBytes.get(port) ?? 0) + bytesOf(socket));
      }
    });
  }
}

function bytesOf({bytesRead, bytesWritten}: Socket): number {
  return bytesRead + bytesWritten;
}
