/** `marigoldfold explain ID [FILE...]`. */
import {readFileSync} from 'node:fs';
import {text} from 'node:stream/consumers';
import {Args, Command} from '@oclif/core';
import {explainRequest} from '../explainRequest.js';

/** Prints the log lines that explain the outcome of one request. */
export class Explain extends Command {
  static override description =
    'Explains the outcome of a request and the decisions on it, from log files or standard input.';

  static override strict = false;

  static override args = {
    id: Args.string({description: 'ID of the request.', required: true, ignoreStdin: true}),
    // Without ignoreStdin, oclif reads standard input into an argument that is not given.
    files: Args.string({
      description: 'Log files of all processes; standard input if there are none.',
      ignoreStdin: true,
    }),
  };

  async run(): Promise<void> {
    const {args, argv} = await this.parse(Explain);
    const files = (argv as string[]).slice(1);
    const texts = files.length === 0 ? [await text(process.stdin)] : files.map(this.#read, this);
    const explanation = explainRequest(
      args.id,
      texts.flatMap((log) => log.split('\n')),
    );
    if (explanation.isErr()) this.error(explanation.error.message, {exit: 1});
    for (const line of explanation.value) this.log(line);
  }

  #read(file: string): string {
    try {
      return readFileSync(file, 'utf8');
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return this.error(`${file}: cannot be read: ${reason}`, {exit: 2});
    }
  }
}
