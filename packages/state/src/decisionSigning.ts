/** Signs and verifies decisions with the monitor's Ed25519 key. */
import {createPrivateKey, generateKeyPairSync, type KeyObject, sign, verify} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {canonicalJson} from './digest.js';
import {readPublicKey} from './publicKey.js';
import type {Decision, UnsignedDecision} from './ticket.js';

/** An Ed25519 key pair: private key in PKCS#8 PEM, public key in base64-encoded SPKI. */
export interface MonitorKeyPair {
  readonly privateKeyPem: string;
  readonly publicKey: string;
}

/** Generates a random key pair. */
export function generateMonitorKey(): MonitorKeyPair {
  const {privateKey, publicKey} = generateKeyPairSync('ed25519');
  return {
    privateKeyPem: privateKey.export({type: 'pkcs8', format: 'pem'}).toString(),
    publicKey: publicKey.export({type: 'spki', format: 'der'}).toString('base64'),
  };
}

/** Signs the canonical JSON of a decision; the error says why the private key cannot be used. */
export function signDecision(
  decision: UnsignedDecision,
  privateKeyPem: string,
): Result<Decision, string> {
  let key: KeyObject;
  try {
    key = createPrivateKey(privateKeyPem);
  } catch {
    return err('the key is not a private key in PEM');
  }
  if (key.asymmetricKeyType !== 'ed25519') return err('the key is not an Ed25519 private key');
  const signature = sign(null, Buffer.from(canonicalJson(decision)), key).toString('base64');
  return ok({...decision, signature});
}

/** Verifies a decision's signature; false also when the public key is invalid. */
export function isSignedBy(decision: Decision, publicKey: string): boolean {
  const {signature, ...unsigned} = decision;
  const key = readPublicKey(publicKey);
  if (key === undefined) return false;
  const message = Buffer.from(canonicalJson(unsigned));
  return verify(null, message, key, Buffer.from(signature, 'base64'));
}
