/** Identities of processes and requests. */
import {randomBytes} from 'node:crypto';

/** Header by which an agent names its incarnation on every answer. */
export const incarnationHeader = 'x-marigoldfold-incarnation';

const RANDOM_BYTES = 6;
const RADIX = 36;

/** A new incarnation: start time and randomness, so that no earlier life of a process shares it. */
export function createIncarnation(startMs: number): string {
  return `${Math.floor(startMs).toString(RADIX)}-${randomBytes(RANDOM_BYTES).toString('hex')}`;
}

/** Numbers the requests of one incarnation. */
export function createRequestIdGenerator(incarnation: string): () => string {
  let sequence = 0;
  return () => {
    sequence += 1;
    return `${incarnation}.${sequence.toString(RADIX)}`;
  };
}

/** Not part of the id of a request that was never moved. */
const MOVE_SEPARATOR = '~';

/** The id of a request at the agent that it was moved to; an agent refuses an id that was taken back from it. */
export function movedRequestId(id: string, moves: number): string {
  return moves === 0 ? id : `${id}${MOVE_SEPARATOR}${moves}`;
}

/** The id that a request had before it was moved. */
export function originalRequestId(id: string): string {
  return id.split(MOVE_SEPARATOR)[0] ?? id;
}
