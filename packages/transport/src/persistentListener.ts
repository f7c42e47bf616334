/** Opens the address of a server, and tries again for as long as another process has it. */
import type {Server} from 'node:net';
import {type Clock, isAborted, type Logger, sleep} from '@marigoldfold/runtime';

/** Address of a server, and what is needed to wait for it. */
export interface PersistentListenOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly backlog?: number;
  /** Aborted when the server is not needed any more. */
  readonly signal: AbortSignal;
}

/** Time between two attempts, in milliseconds: the process that has the port is expected to end within seconds. */
const RETRY_MS = 100;

/** Resolves to true once the server listens, or to false if the signal was aborted before. */
export async function listenPersistently(
  server: Server,
  {clock, logger, host, port, backlog, signal}: PersistentListenOptions,
): Promise<boolean> {
  const startedAtMs = clock.now();
  let hasFailed = false;
  while (!isAborted(signal)) {
    const error = await listenOnce(server, {host, port, backlog});
    if (error === undefined) {
      if (hasFailed) {
        const tookMs = Math.round(clock.now() - startedAtMs);
        logger.info('address opened', {host, port, tookMs});
      }
      // A connection that cannot be accepted, as for lack of descriptors, must not end the process.
      server.on('error', ({message: reason}) => {
        logger.error('server failed', {host, port, reason});
      });
      return true;
    }
    if (!hasFailed) {
      logger.error('address cannot be opened; trying again', {host, port, reason: error.message});
    }
    hasFailed = true;
    await sleep(clock, RETRY_MS, signal);
  }
  return false;
}

function listenOnce(
  server: Server,
  address: {readonly host: string; readonly port: number; readonly backlog: number | undefined},
): Promise<Error | undefined> {
  return new Promise((resolve) => {
    const finish = (error?: Error) => {
      server.off('error', finish);
      server.off('listening', finish);
      resolve(error);
    };
    server.once('error', finish);
    server.once('listening', finish);
    server.listen(address);
  });
}
