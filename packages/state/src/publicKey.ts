/** Parses the monitor's public key. */
import {createPublicKey, type KeyObject} from 'node:crypto';

/** Parses an Ed25519 public key in base64-encoded SPKI; undefined when the text is invalid. */
export function readPublicKey(text: string): KeyObject | undefined {
  try {
    const key = createPublicKey({key: Buffer.from(text, 'base64'), type: 'spki', format: 'der'});
    return key.asymmetricKeyType === 'ed25519' ? key : undefined;
  } catch {
    return undefined;
  }
}

/** Whether a text is an Ed25519 public key in base64-encoded SPKI. */
export function isEd25519PublicKey(text: string): boolean {
  return readPublicKey(text) !== undefined;
}
