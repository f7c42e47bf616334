/** Checks whether a process listens on an address. */
import {connect} from 'node:net';
import {splitAddress} from './httpClient.js';

/**
 * Whether a connection to `host:port` is accepted; undefined if it is neither accepted nor refused in time. A process that
 * resets a connection, since it has too many, listens.
 */
export function isListening(address: string, timeoutMs: number): Promise<boolean | undefined> {
  const [host, port] = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({host, port, timeout: timeoutMs});
    const finish = (result: boolean | undefined) => {
      resolve(result);
      socket.destroy();
    };
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('timeout', () => {
      // After a long event loop turn, timers run before a connection that was accepted in time is noticed.
      setImmediate(() => {
        finish(undefined);
      });
    });
    socket.once('error', ({code}: NodeJS.ErrnoException) => {
      if (code === 'ECONNREFUSED') finish(false);
      else finish(code === 'ECONNRESET' ? true : undefined);
    });
  });
}
