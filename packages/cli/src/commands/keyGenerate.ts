/** `marigoldfold key generate`. */
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import {digestText, generateMonitorKey} from '@marigoldfold/state';
import {Args, Command, Flags} from '@oclif/core';

const KEY_BYTES = 24;
const OWNER_ONLY = 0o600;

/** Prints a bearer key with its SHA-256 digest, or writes the monitor's key pair to two files. */
export class KeyGenerate extends Command {
  static override readonly description =
    'Generates a key of the monitor, an operator, a client account or the cluster.';
  static override readonly examples = [
    'marigoldfold key generate monitor --out monitor',
    'marigoldfold key generate client --account parish-choir',
  ];
  static override readonly args = {
    kind: Args.string({
      description: 'owner of the key',
      options: ['monitor', 'operator', 'client', 'cluster'],
      required: true,
    }),
  };
  static override readonly flags = {
    out: Flags.string({description: 'base name of the key files (monitor)', default: 'monitor'}),
    account: Flags.string({description: 'name of the client account (client)'}),
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(KeyGenerate);
    const secret = randomBytes(KEY_BYTES).toString('base64url');
    switch (args.kind) {
      case 'monitor':
        this.#writeMonitorKey(flags.out);
        break;
      case 'client':
        if (flags.account === undefined) this.error('--account is required', {exit: 2});
        this.#print(`mf.${flags.account}.${secret}`);
        break;
      default:
        this.#print(secret);
    }
  }

  #writeMonitorKey(base: string): void {
    const key = generateMonitorKey();
    writeFileSync(`${base}.pem`, key.privateKeyPem, {mode: OWNER_ONLY, flag: 'wx'});
    writeFileSync(`${base}.pub`, `${key.publicKey}\n`, {flag: 'wx'});
    this.log(`private key in ${base}.pem, public key in ${base}.pub`);
  }

  #print(key: string): void {
    this.log(`key:    ${key}`);
    this.log(`sha256: ${digestText(key)}`);
  }
}
