/** `marigoldfold settings check`. */
import {readFileSync} from 'node:fs';
import {agentSettingsSchema} from '@marigoldfold/agent';
import {entrySettingsSchema, forwardSettingsSchema} from '@marigoldfold/entry';
import {formatProblem, parseSettings} from '@marigoldfold/runtime';
import {Args, Command, Flags} from '@oclif/core';

const schemas = {
  entry: entrySettingsSchema,
  agent: agentSettingsSchema,
  forward: forwardSettingsSchema,
} as const;

/** Checks a settings file; exits with code 2 and lists every problem if it is invalid. */
export class SettingsCheck extends Command {
  static override readonly description = 'Checks a settings file and lists every problem.';
  static override readonly examples = ['marigoldfold settings check entry.toml --role entry'];
  static override readonly args = {
    file: Args.string({description: 'settings file (TOML)', required: true}),
  };
  static override readonly flags = {
    role: Flags.string({
      description: 'role that the settings are for; inferred from the file when absent',
      options: ['entry', 'agent', 'forward'],
    }),
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(SettingsCheck);
    let text: string;
    try {
      text = readFileSync(args.file, 'utf8');
    } catch {
      this.error(`${args.file} cannot be read`, {exit: 2});
    }
    const role = (flags.role ?? inferRole(text)) as keyof typeof schemas;
    const settings = parseSettings<unknown>(schemas[role], text);
    if (settings.isErr()) {
      const lines = settings.error.map((problem) => `  ${formatProblem(problem)}`);
      this.error([`${args.file} has ${lines.length} problem(s):`, ...lines].join('\n'), {exit: 2});
    }
    this.log(`${args.file}: valid settings of ${roleNames[role]}`);
  }
}

const roleNames = {
  entry: 'an entry',
  agent: 'an agent',
  forward: 'a forwarding router',
} as const;

/** Infers the role: only an agent's settings have `[endpoint]`, only a forwarding router's have `readyListen`. */
function inferRole(text: string): keyof typeof schemas {
  if (/^\s*\[endpoint\]/m.test(text)) return 'agent';
  return /^\s*readyListen\s*=/m.test(text) ? 'forward' : 'entry';
}
