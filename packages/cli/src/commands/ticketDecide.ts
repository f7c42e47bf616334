/** `marigoldfold ticket approve` and `marigoldfold ticket reject`. */
import {createPrivateKey, createPublicKey} from 'node:crypto';
import {systemClock} from '@marigoldfold/runtime';
import type {Decision} from '@marigoldfold/state';
import {Args, Flags} from '@oclif/core';
import {replayToHead, signNextDecision} from '../monitorDecision.js';
import type {RecordAnswer} from '../operatorClient.js';
import {OperatorCommand, operatorFlags} from '../operatorFlags.js';

const decideArgs = {number: Args.integer({description: 'number of the ticket', required: true})};

const decideFlags = {
  ...operatorFlags,
  'monitor-key': Flags.string({
    description: "file with the monitor's private key (PEM)",
    env: 'MARIGOLDFOLD_MONITOR_PRIVATE_KEY_FILE',
    required: true,
  }),
  'first-public-key': Flags.string({
    description: 'public key that verifies the first decision, if the key has changed since',
  }),
  note: Flags.string({description: 'note to store with the decision', default: ''}),
};

interface DecideFlags {
  readonly operators: string;
  readonly 'operator-key': string;
  readonly 'monitor-key': string;
  readonly 'first-public-key'?: string | undefined;
  readonly note: string;
  readonly json: boolean;
}

abstract class TicketDecide extends OperatorCommand {
  protected async decide(
    verdict: Decision['verdict'],
    number: number,
    flags: DecideFlags,
  ): Promise<void> {
    const privateKeyPem = this.readFileOrExit(flags['monitor-key']);
    using client = this.connect(flags);
    const record = this.unwrapOrExit(await client.readRecord(0));
    const earlier = this.#findEarlierDecision(record, verdict, number, flags, privateKeyPem);
    if (earlier !== undefined) {
      this.#printDecision(earlier, flags);
      return;
    }
    const decision = signNextDecision(record, {
      number,
      verdict,
      note: flags.note,
      privateKeyPem,
      firstPublicKey: flags['first-public-key'] ?? this.#publicKeyOf(privateKeyPem),
      nowMs: systemClock.now(),
    });
    if (decision.isErr()) this.error(decision.error, {exit: 1});
    this.unwrapOrExit(await client.decide(decision.value));
    this.#printDecision(decision.value, flags);
  }

  #printDecision(decision: Decision, {json}: DecideFlags): void {
    const {number, verdict, stateDigest} = decision;
    if (json) this.log(JSON.stringify(decision));
    else this.log(`ticket ${number} ${verdict}, state digest ${stateDigest}`);
  }

  /** Finds the decision of an earlier run of the same command whose response was lost. */
  #findEarlierDecision(
    record: RecordAnswer,
    verdict: Decision['verdict'],
    number: number,
    flags: DecideFlags,
    privateKeyPem: string,
  ): Decision | undefined {
    const firstPublicKey = flags['first-public-key'] ?? this.#publicKeyOf(privateKeyPem);
    const head = replayToHead(record, firstPublicKey);
    if (head.isErr() || head.value.number < number) return undefined;
    return record.decisions.find((found) => found.number === number && found.verdict === verdict);
  }

  #publicKeyOf(privateKeyPem: string): string {
    try {
      const key = createPublicKey(createPrivateKey(privateKeyPem));
      return key.export({type: 'spki', format: 'der'}).toString('base64');
    } catch {
      this.error('--monitor-key: not a private key in PEM', {exit: 2});
    }
  }
}

/** Approves a ticket; prints the stored decision if it is already approved. */
export class TicketApprove extends TicketDecide {
  static override readonly description =
    'Verifies the whole record, then approves a ticket with the monitor key.';
  static override readonly examples = ['marigoldfold ticket approve 4 --monitor-key monitor.pem'];
  static override readonly args = decideArgs;
  static override readonly flags = decideFlags;

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(TicketApprove);
    await this.decide('approved', args.number, flags);
  }
}

/** Rejects a ticket; prints the stored decision if it is already rejected. */
export class TicketReject extends TicketDecide {
  static override readonly description =
    'Verifies the whole record, then rejects a ticket with the monitor key.';
  static override readonly examples = [
    'marigoldfold ticket reject 4 --monitor-key monitor.pem --note "limit too high"',
  ];
  static override readonly args = decideArgs;
  static override readonly flags = decideFlags;

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(TicketReject);
    await this.decide('rejected', args.number, flags);
  }
}
