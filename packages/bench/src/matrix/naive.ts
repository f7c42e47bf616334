/** The same requests without concurrency and faults: what the system is compared with. */
import {createAnswerText} from '@marigoldfold/standin';
import {OUTPUT_TOKENS} from './endpoints.js';
import type {Order} from './world.js';

/** One process that runs one request after the other. */
export class NaiveSystem {
  readonly #outcomes = new Map<string, string>();
  /** Keys of the postings, in the order in which they ran. */
  readonly postings: string[] = [];

  /** The text of the answer to a request. */
  run(id: string, order: Order): string {
    if (order.kind === 'generation') return this.#generate(id);
    const known = this.#outcomes.get(order.key);
    if (known !== undefined) return known;
    this.postings.push(order.key);
    const outcome = Buffer.from(`posted ${order.key}`).toString('base64');
    this.#outcomes.set(order.key, outcome);
    return outcome;
  }

  #generate(id: string): string {
    const textOf = createAnswerText(id);
    let text = '';
    for (let number = 1; number <= OUTPUT_TOKENS; number += 1) text += textOf(number);
    return text;
  }
}
