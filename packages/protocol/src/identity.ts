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
export function requestIds(incarnation: string): () => string {
  let sequence = 0;
  return () => {
    sequence += 1;
    return `${incarnation}.${sequence.toString(RADIX)}`;
  };
}

/** The id of a request after a number of moves: agents remember an id that was taken back from them. */
export function movedId(id: string, moves: number): string {
  return moves === 0 ? id : `${id}.${moves}`;
}

/** The id that a request had before any move. */
export function originalId(id: string): string {
  const [incarnation, sequence] = id.split('.');
  return `${incarnation ?? ''}.${sequence ?? ''}`;
}
