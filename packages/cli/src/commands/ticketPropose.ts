/** `marigoldfold ticket propose`. */
import {randomUUID} from 'node:crypto';
import {checkDocument, formatProblem, parseSettings} from '@marigoldfold/runtime';
import type {Preview} from '@marigoldfold/entry';
import {draftSchema} from '@marigoldfold/state';
import {Args, Flags} from '@oclif/core';
import {OperatorCommand, operatorFlags} from '../operatorFlags.js';
import {formatTable} from '../table.js';

/** Proposes a ticket, or previews it with `--dry-run`; exits with code 1 if a check fails. */
export class TicketPropose extends OperatorCommand {
  static override readonly description = 'Proposes a ticket from a TOML or JSON file.';
  static override readonly examples = [
    'marigoldfold ticket propose raise-limit.toml --dry-run',
    'marigoldfold ticket propose raise-limit.toml',
  ];
  static override readonly args = {
    file: Args.string({description: 'ticket file (.toml or .json)', required: true}),
  };
  static override readonly flags = {
    ...operatorFlags,
    id: Flags.string({
      description: 'ID of the submission; submitting again with the same ID is safe',
    }),
    'dry-run': Flags.boolean({
      description: 'show the fields that would change and the checks that fail, without writing',
    }),
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(TicketPropose);
    const draft = this.#readDraft(args.file);
    const id = flags.id ?? randomUUID();
    using client = this.connect(flags);
    if (flags['dry-run']) {
      this.#showPreview(this.unwrapOrExit(await client.preview({id, draft})), flags.json);
      return;
    }
    const proposed = await client.propose({id, draft});
    if (proposed.isErr() && proposed.error.mayHaveTakenEffect) {
      this.logToStderr(`To submit again safely, add --id ${id}`);
    }
    const ticket = this.unwrapOrExit(proposed);
    if (flags.json) this.log(JSON.stringify(ticket));
    else
      this.log(
        `ticket ${ticket.number} proposed, based on ${ticket.base}; it needs a decision of the monitor`,
      );
  }

  #showPreview(preview: Preview, isJson: boolean): void {
    const isRefused = preview.failures.some(({severity}) => severity === 'error');
    if (isJson) this.log(JSON.stringify(preview));
    else this.log(formatPreview(preview));
    if (isRefused) this.exit(1);
  }

  #readDraft(file: string) {
    const text = this.readFileOrExit(file);
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

function formatPreview({number, base, bytes, differences, failures}: Preview): string {
  const rows = differences.map(({object, field, before, after}) => [object, field, before, after]);
  const lines = failures.map(({severity, message}) => `${severity}: ${message}`);
  return [
    `would be ticket ${number}, based on ${base}, ${bytes} bytes; nothing was written`,
    formatTable(['OBJECT', 'FIELD', 'BEFORE', 'AFTER'], rows),
    ...(lines.length === 0 ? ['all checks pass'] : lines),
  ].join('\n');
}
