/** Ids from clients that are kept beyond their request. */
import {createHash} from 'node:crypto';

/** Longest id that is kept as it is, in characters; tables of ids are limited by number. */
export const MAX_ID_LENGTH = 64;

/** The id, or a digest of it if it is long; every instance takes the same one for the same id. */
export function boundId(id: string): string {
  if (id.length <= MAX_ID_LENGTH) return id;
  return createHash('sha256').update(id).digest('base64url');
}
