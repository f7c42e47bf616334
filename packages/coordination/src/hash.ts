/** Fast hashing for placement decisions; not for anything that must resist forgery. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** A 64-bit hash of a text. */
export function hash64(text: string): bigint {
  return hasher.h64(text);
}
