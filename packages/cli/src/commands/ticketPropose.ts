/** `marigoldfold ticket propose`. */
import {randomUUID} from 'node:crypto';
import {checkDocument, formatProblem, parseSettings} from '@marigoldfold/runtime';
import {draftSchema} from '@marigoldfold/state';
import {Args, Flags} from '@oclif/core';
import {OperatorCommand, operatorFlags} from '../operatorFlags.js';

/** Proposes a ticket. */
export class TicketPropose extends OperatorCommand {
  static override readonly description = 'Proposes a ticket from a TOML or JSON file.';
  static override readonly examples = ['marigoldfold ticket propose raise-limit.toml'];
  static override readonly args = {
    file: Args.string({description: 'ticket file (.toml or .json)', required: true}),
  };
  static override readonly flags = {
    ...operatorFlags,
    id: Flags.string({description: 'id of the submission; repeat it to submit again safely'}),
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(TicketPropose);
    const draft = this.#readDraft(args.file);
    const id = flags.id ?? randomUUID();
    using client = this.connect(flags);
    const proposed = await client.propose({id, draft});
    if (proposed.isErr() && proposed.error.mayHaveTakenEffect) {
      this.logToStderr(`Submit again with --id ${id}`);
    }
    const ticket = this.require(proposed);
    if (flags.json) this.log(JSON.stringify(ticket));
    else
      this.log(`ticket ${ticket.number} proposed, based on ${ticket.base}; it awaits the monitor`);
  }

  #readDraft(file: string) {
    const text = this.readFile(file);
    const draft = file.endsWith('.json')
      ? checkDocument(draftSchema, parseJson(text))
      : parseSettings(draftSchema, text);
    if (draft.isErr()) {
      const lines = draft.error.map((problem) => `  ${formatProblem(problem)}`);
      this.error([`${file} is not a valid ticket:`, ...lines].join('\n'), {exit: 2});
    }
    return draft.value;
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
