/** Generates the reference of all settings from their schemas. */
import {agentSettingsSchema} from '@marigoldfold/agent';
import {entrySettingsSchema, forwardSettingsSchema} from '@marigoldfold/entry';
import {z} from 'zod';

interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly minLength?: number;
  readonly pattern?: string;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
}

/** Markdown text of `docs/operators/settings.md`, before it is formatted. */
export function formatSettingsReference(): string {
  return [
    '# Settings',
    '',
    'Entry, agent and forwarding router each take one TOML file by `--settings`. This page is made from the schemas that',
    'check those files (`npm run docs:settings`). Unknown keys are errors, and all errors of a file are',
    'reported at once. Secrets stand in files or in the environment, never in the settings.',
    '',
    ...section('Entry (`marigoldfold-entry`)', entrySettingsSchema),
    ...section('Agent (`marigoldfold-agent`)', agentSettingsSchema),
    ...section('Forwarding router (`marigoldfold-forward`)', forwardSettingsSchema),
  ].join('\n');
}

function section(title: string, schema: z.ZodType): readonly string[] {
  const root = z.toJSONSchema(schema, {io: 'input'}) as JsonSchema;
  return [
    `## ${title}`,
    '',
    '| key | meaning | allowed | default |',
    '| --- | --- | --- | --- |',
    ...rows('', root),
    '',
  ];
}

function rows(prefix: string, {properties = {}, required = []}: JsonSchema): readonly string[] {
  const lines: string[] = [];
  for (const [name, property] of Object.entries(properties)) {
    const key = prefix + name;
    if (property.properties !== undefined) {
      lines.push(...rows(`${key}.`, property));
      continue;
    }
    lines.push(row(key, property, required.includes(name)));
    const {items} = property;
    if (items?.properties !== undefined) lines.push(...rows(`${key}[].`, items));
  }
  return lines;
}

function row(key: string, property: JsonSchema, isRequired: boolean): string {
  const {description = '', default: value} = property;
  const textWithoutDefault = isRequired ? 'required' : 'none';
  const defaultText = value === undefined ? textWithoutDefault : `\`${JSON.stringify(value)}\``;
  return `| \`${key}\` | ${description} | ${describeAllowed(property)} | ${defaultText} |`;
}

function describeAllowed({type = '', enum: values, minimum, maximum, pattern}: JsonSchema): string {
  if (values !== undefined) return values.map((value) => `\`${String(value)}\``).join(', ');
  // An unescaped `|` would end the cell of the Markdown table.
  if (pattern !== undefined) return `text like \`${pattern.replaceAll('|', '\\|')}\``;
  if (type === 'string') return 'text';
  if (type === 'array') return 'list';
  const isBounded = maximum !== undefined && maximum < Number.MAX_SAFE_INTEGER;
  const range = isBounded ? `${minimum ?? ''} to ${maximum}` : `at least ${minimum ?? 0}`;
  return `${type}, ${range}`;
}
