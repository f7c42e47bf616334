/** `marigoldfold verify`. */
import {writeFileSync} from 'node:fs';
import {recordAnswerSchema} from '@marigoldfold/entry';
import {checkDocument, formatProblem} from '@marigoldfold/runtime';
import {Flags} from '@oclif/core';
import type {RecordAnswer} from '../operatorClient.js';
import {OperatorCommand, operatorFlags} from '../operatorFlags.js';
import {verifyRecord} from '../verifyRecord.js';

/** Replays the record of tickets and prints the first violation of its rules; exits with code 1 if there is one. */
export class Verify extends OperatorCommand {
  static override readonly description =
    'Replays the whole record, live or from a saved file, and prints the first break.';
  static override readonly examples = [
    'marigoldfold verify --monitor-public-key "$(cat monitor.pub)" --save record.json',
    'marigoldfold verify --monitor-public-key "$(cat monitor.pub)" --file record.json',
  ];
  static override readonly flags = {
    ...operatorFlags,
    'operator-key': Flags.string({
      description: "the operator's bearer key; not needed with --file",
      env: 'MARIGOLDFOLD_OPERATOR_KEY',
      default: '',
    }),
    'monitor-public-key': Flags.string({
      description: "the monitor's public key at the first ticket, SPKI in base64",
      env: 'MARIGOLDFOLD_MONITOR_KEY',
      required: true,
    }),
    file: Flags.string({
      description: 'read a saved record instead of the live one',
      exclusive: ['save'],
    }),
    save: Flags.string({description: 'file to save the record in'}),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(Verify);
    const record =
      flags.file === undefined ? await this.#download(flags) : this.#readRecord(flags.file);
    if (flags.save !== undefined) writeFileSync(flags.save, `${JSON.stringify(record)}\n`);
    const verification = verifyRecord(record, flags['monitor-public-key'].trim());
    if (flags.json) this.log(JSON.stringify(verification));
    else {
      const {number, stateDigest, undecided, problems} = verification;
      this.log(`tickets 1 to ${number} are valid, state digest ${stateDigest}`);
      this.log(`undecided: ${undecided.length === 0 ? 'none' : undecided.join(' ')}`);
      for (const problem of problems) this.log(`broken: ${problem}`);
    }
    if (!verification.isWhole) this.exit(1);
  }

  async #download(flags: {
    readonly operators: string;
    readonly 'operator-key': string;
  }): Promise<RecordAnswer> {
    using client = this.connect(flags);
    return this.unwrapOrExit(await client.readRecord(0));
  }

  #readRecord(file: string): RecordAnswer {
    let document: unknown;
    try {
      document = JSON.parse(this.readFileOrExit(file));
    } catch {
      this.error(`${file} is not JSON`, {exit: 2});
    }
    const record = checkDocument(recordAnswerSchema, document);
    if (record.isOk()) return record.value;
    const lines = record.error.map((problem) => `  ${formatProblem(problem)}`);
    this.error([`${file} is not a record:`, ...lines].join('\n'), {exit: 2});
  }
}
