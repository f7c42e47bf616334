/** Assembles an unstreamed answer from the chunks of a stream. */
import {z} from 'zod';

const deltaToolCallSchema = z.looseObject({
  index: z.number(),
  id: z.string().optional(),
  type: z.string().optional(),
  function: z
    .looseObject({name: z.string().optional(), arguments: z.string().optional()})
    .optional(),
});

const chunkSchema = z.looseObject({
  id: z.string().optional(),
  created: z.number().optional(),
  model: z.string().optional(),
  system_fingerprint: z.string().nullish(),
  service_tier: z.string().nullish(),
  choices: z.array(
    z.looseObject({
      index: z.number(),
      text: z.string().optional(),
      delta: z
        .looseObject({
          role: z.string().optional(),
          content: z.string().nullish(),
          refusal: z.string().nullish(),
          tool_calls: z.array(deltaToolCallSchema).optional(),
        })
        .optional(),
      finish_reason: z.string().nullish(),
      logprobs: z.record(z.string(), z.unknown()).nullish(),
    }),
  ),
  usage: z.unknown().optional(),
});

interface ToolCall {
  id: string;
  type: string;
  function: {name: string; arguments: string};
}

interface Choice {
  text: string;
  refusal: string;
  role: string;
  finishReason: string | null;
  readonly toolCalls: Map<number, ToolCall>;
  /** Log probability lists of a choice by field name, with one item per token; each chunk appends its items. */
  readonly logprobs: Map<string, unknown>;
}

/** Merges the chunks of one answer, for chat and for text completions. */
export class CompletionAssembly {
  readonly #isChat: boolean;
  readonly #choices = new Map<number, Choice>();
  #id = '';
  #created = 0;
  #model = '';
  #usage: unknown;
  /** Optional top-level fields that the chunks contained, to be copied into the answer. */
  #extras: Readonly<Record<string, string>> = {};

  constructor(isChat: boolean) {
    this.#isChat = isChat;
  }

  /** Merges the data of one chunk into the answer; returns false when the data cannot be parsed. */
  add(data: string): boolean {
    let document: unknown;
    try {
      document = JSON.parse(data);
    } catch {
      return false;
    }
    const checked = chunkSchema.safeParse(document);
    if (!checked.success) return false;
    const {id, created, model, choices, usage} = checked.data;
    const {system_fingerprint: fingerprint, service_tier: serviceTier} = checked.data;
    if (typeof fingerprint === 'string') this.#addExtra('system_fingerprint', fingerprint);
    if (typeof serviceTier === 'string') this.#addExtra('service_tier', serviceTier);
    this.#id = id ?? this.#id;
    this.#created = created ?? this.#created;
    this.#model = model ?? this.#model;
    if (usage !== undefined && usage !== null) this.#usage = usage;
    for (const part of choices) this.#extend(this.#choice(part.index), part);
    return true;
  }

  /** Returns the complete answer in the format of the called API. */
  build(): unknown {
    const choices = [...this.#choices].sort(([a], [b]) => a - b);
    return {
      id: this.#id,
      object: this.#isChat ? 'chat.completion' : 'text_completion',
      created: this.#created,
      model: this.#model,
      choices: choices.map(([index, choice]) => this.#buildChoice(index, choice)),
      ...this.#extras,
      ...(this.#usage === undefined ? {} : {usage: this.#usage}),
    };
  }

  #addExtra(name: string, value: string): void {
    this.#extras = {...this.#extras, [name]: value};
  }

  #choice(index: number): Choice {
    const known = this.#choices.get(index);
    if (known !== undefined) return known;
    const choice: Choice = {
      text: '',
      refusal: '',
      role: 'assistant',
      finishReason: null,
      toolCalls: new Map(),
      logprobs: new Map(),
    };
    this.#choices.set(index, choice);
    return choice;
  }

  #extend(choice: Choice, part: z.infer<typeof chunkSchema>['choices'][number]): void {
    choice.text += part.text ?? part.delta?.content ?? '';
    choice.refusal += part.delta?.refusal ?? '';
    choice.role = part.delta?.role ?? choice.role;
    choice.finishReason = part.finish_reason ?? choice.finishReason;
    extendLists(choice.logprobs, part.logprobs ?? {});
    for (const call of part.delta?.tool_calls ?? []) {
      const known = choice.toolCalls.get(call.index) ?? {
        id: '',
        type: 'function',
        function: {name: '', arguments: ''},
      };
      known.id = call.id ?? known.id;
      known.function.name += call.function?.name ?? '';
      known.function.arguments += call.function?.arguments ?? '';
      choice.toolCalls.set(call.index, known);
    }
  }

  #buildChoice(index: number, choice: Choice): unknown {
    const logprobs = choice.logprobs.size === 0 ? null : Object.fromEntries(choice.logprobs);
    const finish = {index, finish_reason: choice.finishReason, logprobs};
    if (!this.#isChat) return {...finish, text: choice.text};
    const toolCalls = [...choice.toolCalls].sort(([a], [b]) => a - b).map(([, call]) => call);
    const message = {
      role: choice.role,
      content: choice.text === '' && toolCalls.length > 0 ? null : choice.text,
      refusal: choice.refusal === '' ? null : choice.refusal,
      ...(toolCalls.length === 0 ? {} : {tool_calls: toolCalls}),
    };
    return {...finish, message};
  }
}

function extendLists(lists: Map<string, unknown>, parts: Readonly<Record<string, unknown>>): void {
  for (const [name, part] of Object.entries(parts)) {
    const known = lists.get(name);
    if (Array.isArray(known) && Array.isArray(part)) {
      lists.set(name, (known as unknown[]).concat(part));
    } else if (part !== null || known === undefined) lists.set(name, part);
  }
}
