/** Identifiers of requests and of process incarnations; each start of a process is a new incarnation. */
import {randomBytes} from 'node:crypto';

/** Header with the agent's incarnation, set on every response of an agent. */
export const incarnationHeader = 'x-marigoldfold-incarnation';

const RANDOM_BYTES = 6;
const RADIX = 36;

/** Creates an incarnation id from the start time and random bytes, unique among the restarts of a process. */
export function createIncarnation(startMs: number): string {
  return `${Math.floor(startMs).toString(RADIX)}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
}

/** Returns a generator of request ids, sequential within one incarnation. */
export function createRequestIdGenerator(incarnation: string): () => string {
  let sequence = 0;
  return () => {
    sequence += 1;
    return `${incarnation}.${sequence.toString(RADIX)}`;
  };
}

/** Separates a request's original id from the number of its moves to another agent. */
const MOVE_SEPARATOR = '~';

/**
 * Returns the id of a request after a number of moves between agents. Each move needs a new id because an agent
 * refuses an id that was withdrawn from it.
 */
export function movedRequestId(id: string, moves: number): string {
  return moves === 0 ? id : `${id}${MOVE_SEPARATOR}${moves}`;
}

/** Returns the id that a request had before it was first moved to another agent. */
export function originalRequestId(id: string): string {
  return id.split(MOVE_SEPARATOR)[0] ?? id;
}
