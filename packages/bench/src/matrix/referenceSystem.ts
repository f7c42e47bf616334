/** The same requests without concurrency and faults: what the system is compared with. */
import {createAnswerText} from '@marigoldfold/standin';
import {OUTPUT_TOKENS} from './endpoints.js';
import type {SimulatedRequest} from './simulatedSystem.js';

/** One process that runs one request after the other. */
export class ReferenceSystem {
  readonly #outcomes = new Map<string, string>();
  /** Keys of the postings, in the order in which they ran. */
  readonly postings: string[] = [];

  /** The text of the answer to a request. */
  run(id: string, request: SimulatedRequest): string {
    if (request.kind === 'generation') return this.#generate(id);
    const known = this.#outcomes.get(request.key);
    if (known !== undefined) return known;
    this.postings.push(request.key);
    const outcome = Buffer.from(`posted ${request.key}`).toString('base64');
    this.#outcomes.set(request.key, outcome);
    return outcome;
  }

  #generate(id: string): string {
    const textOf = createAnswerText(id);
    let text = '';
    for (let number = 1; number <= OUTPUT_TOKENS; number += 1) text += textOf(number);
    return text;
  }
}
