/** The monitor's public key as text. */
import {createPublicKey, type KeyObject} from 'node:crypto';

/** Reads an Ed25519 public key, SPKI in base64; undefined when the text is none. */
export function readPublicKey(text: string): KeyObject | undefined {
  try {
    const key = createPublicKey({key: Buffer.from(text, 'base64'), type: 'spki', format: 'der'});
    return key.asymmetricKeyType === 'ed25519' ? key : undefined;
  } catch {
    return undefined;
  }
}

/** Whether a text is an Ed25519 public key, SPKI in base64. */
export function isEd25519PublicKey(text: string): boolean {
  return readPublicKey(text) !== undefined;
}
