/** Meters of the calling thread: processor time, memory, and bytes on sockets. */
import {subscribe} from 'node:diagnostics_channel';
import {readFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const NS_PER_MS = 1_000_000;
const LOOPBACK_PORTS = /:(\d+)$/;

/**
 * Processor time of the main thread in milliseconds, by the kernel's count. Other threads of the
 * process, such as those of a world or of the garbage collector, are not in it.
 */
export function mainThreadMs(): number {
  const path = `/proc/self/task/${process.pid}/schedstat`;
  return Number(readFileSync(path, 'utf8').split(' ')[0]) / NS_PER_MS;
}

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes that the calling thread's heap and buffers hold after a garbage collection. */
export function retainedBytes(): number {
  collectGarbage();
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

/** Counts the bytes on the sockets of the calling thread. */
export class SocketMeter {
  readonly #sockets = new Set<Socket>();

  constructor() {
    const note = (message: unknown) => {
      this.#sockets.add((message as {readonly socket: Socket}).socket);
    };
    subscribe('net.client.socket', note);
    subscribe('net.server.socket', note);
  }

  /** Bytes in both directions on the connections to the ports of addresses, or from them. */
  bytes(...addresses: readonly string[]): number {
    const ports = new Set(addresses.map((address) => Number(LOOPBACK_PORTS.exec(address)?.[1])));
    let total = 0;
    for (const socket of this.#sockets) {
      const {remotePort, localPort} = this.#portsOf(socket);
      if (!ports.has(remotePort) && !ports.has(localPort)) continue;
      total += socket.bytesRead + socket.bytesWritten;
    }
    return total;
  }

  readonly #knownPorts = new WeakMap<
    Socket,
    {readonly remotePort: number; readonly localPort: number}
  >();

  /** The ports of a socket, which forgets them when it closes. */
  #portsOf(socket: Socket): {readonly remotePort: number; readonly localPort: number} {
    const known = this.#knownPorts.get(socket);
    if (known !== undefined) return known;
    const {remotePort, localPort} = socket;
    if (remotePort === undefined || localPort === undefined) return {remotePort: -1, localPort: -1};
    const ports = {remotePort, localPort};
    this.#knownPorts.set(socket, ports);
    return ports;
  }
}
