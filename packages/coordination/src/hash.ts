/** Fast non-cryptographic hashing for placement decisions. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** 64-bit xxHash of a text; not resistant to forged collisions. */
export function hash64(text: string): bigint {
  return hasher.h64(text);
}
