/** The monitor's Ed25519 key and its signatures. */
import {createPrivateKey, generateKeyPairSync, type KeyObject, sign, verify} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {canonicalJson} from './digest.js';
import {readPublicKey} from './publicKey.js';
import type {Decision, UnsignedDecision} from './ticket.js';

/** A key pair as it is kept in files: PKCS#8 PEM and SPKI in base64. */
export interface MonitorKeyPair {
  readonly privateKeyPem: string;
  readonly publicKey: string;
}

/** Generates a key pair. */
export function generateMonitorKey(): MonitorKeyPair {
  const {privateKey, publicKey} = generateKeyPairSync('ed25519');
  return {
    privateKeyPem: privateKey.export({type: 'pkcs8', format: 'pem'}).toString(),
    publicKey: publicKey.export({type: 'spki', format: 'der'}).toString('base64'),
  };
}

/** Signs a decision. */
export function signDecision(
  decision: UnsignedDecision,
  privateKeyPem: string,
): Result<Decision, string> {
  let key: KeyObject;
  try {
    key = createPrivateKey(privateKeyPem);
  } catch {
    return err('not an Ed25519 private key in PEM');
  }
  if (key.asymmetricKeyType !== 'ed25519') return err('not an Ed25519 private key');
  const signature = sign(null, Buffer.from(canonicalJson(decision)), key).toString('base64');
  return ok({...decision, signature});
}

/** Whether a decision was signed with the private part of a public key. */
export function isSignedBy(decision: Decision, publicKey: string): boolean {
  const {signature, ...unsigned} = decision;
  const key = readPublicKey(publicKey);
  if (key === undefined) return false;
  const message = Buffer.from(canonicalJson(unsigned));
  return verify(null, message, key, Buffer.from(signature, 'base64'));
}
