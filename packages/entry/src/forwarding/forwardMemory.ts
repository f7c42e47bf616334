/** The budget over what clients and endpoints make a router process hold. */
import type {IncomingMessage} from 'node:http';
import type {Clock, Logger} from '@marigoldfold/runtime';
import type {RoutedAccount} from '@marigoldfold/state';
import {budgetOptions, MemoryBudget} from '@marigoldfold/transport';
import type {ForwardMetrics} from './forwardMetrics.js';

/** Memory and file descriptors of the machine that the process may use. */
export interface ProcessLimits {
  readonly memoryBytes: number;
  /** Number of file descriptors. */
  readonly maxDescriptors: number;
}

/** What the process itself occupies under load; idle ones have 62 to 68 MB resident. */
const PROCESS_BYTES = 80_000_000;
/** Part of the rest that the budget counts; buffers of sockets and garbage need twice as much again. */
const BUDGET_PART = 0.2;
/** Smallest budget: a few large bodies at a time. */
const MIN_BUDGET_BYTES = 16_777_216;

/** Descriptors that are left for files. */
const FILE_DESCRIPTORS = 200;
/** Part of the other descriptors for clients; the rest is for endpoints, the key-value service and peers. */
const CLIENT_DESCRIPTOR_PART = 0.75;

/** Number of connections that clients may have open. */
export function maxClientConnections({maxDescriptors}: ProcessLimits): number {
  return Math.max(1, Math.floor(CLIENT_DESCRIPTOR_PART * (maxDescriptors - FILE_DESCRIPTORS)));
}

/** Creates the budget of a process with that much memory; evictions are logged and counted. */
export function createForwardMemory({
  clock,
  logger,
  memoryBytes,
  metrics,
}: {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly memoryBytes: number;
  readonly metrics: () => ForwardMetrics;
}): MemoryBudget {
  const maxBytes = Math.floor(BUDGET_PART * (memoryBytes - PROCESS_BYTES));
  return new MemoryBudget({
    ...budgetOptions(clock, Math.max(MIN_BUDGET_BYTES, maxBytes)),
    onEviction: ({kind, owner, rule, bytes}) => {
      metrics().memoryRefusals.inc({kind, rule});
      logger.info('memory evicted', {kind, owner, rule, bytes});
    },
    onCallbackError: (error) => {
      logger.error('eviction handler failed', {reason: String(error)});
    },
  });
}

/** The owner of memory that is held for a request: its account if it has one, else the client's address. */
export function memoryOwner(request: IncomingMessage, account: RoutedAccount | undefined): string {
  return account?.name ?? request.socket.remoteAddress ?? '';
}
