/** SHA-256 digests over canonical JSON (RFC 8785). */
import {createHash} from 'node:crypto';
import canonicalizeModule from 'canonicalize';

// The module is CommonJS, and its types declare a default export that Node does not unwrap.
const canonicalize = canonicalizeModule as unknown as (value: unknown) => string | undefined;

/** A SHA-256 digest in lower-case hexadecimal. */
export type Digest = string;

const DIGEST_HEX_LENGTH = 64;

/** `previousDigest` of the first ticket, which has no predecessor. */
export const zeroDigest: Digest = '0'.repeat(DIGEST_HEX_LENGTH);

/** Canonical JSON of a value; `null` for a value that JSON cannot represent, such as undefined. */
export function canonicalJson(value: unknown): string {
  return canonicalize(value) ?? 'null';
}

/** Digest of a text in UTF-8. */
export function digestText(text: string): Digest {
  return createHash('sha256').update(text).digest('hex');
}

/** Digest of a value's canonical JSON. */
export function digestValue(value: unknown): Digest {
  return digestText(canonicalJson(value));
}
