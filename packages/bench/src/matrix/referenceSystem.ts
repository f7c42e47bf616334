/** Sequential reference model without faults, for comparison with the simulated system. */
import {createAnswerText} from '@marigoldfold/standin';
import {OUTPUT_TOKENS} from './endpoints.js';
import type {SimulatedRequest} from './simulatedSystem.js';

/** Computes the answer that each request would get without faults, running requests one at a time. */
export class ReferenceSystem {
  readonly #outcomes = new Map<string, string>();
  /** Idempotency keys of the postings, in order of execution. */
  readonly postings: string[] = [];

  /** Runs a request and returns the text of its answer; a repeated key returns the recorded answer. */
  run(id: string, request: SimulatedRequest): string {
    if (request.kind === 'generation') return this.#generate(id);
    const recorded = this.#outcomes.get(request.key);
    if (recorded !== undefined) return recorded;
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
