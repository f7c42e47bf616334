/** Sends prompts that begin alike to one endpoint, whose cache then holds the beginning. */
import {createHash} from 'node:crypto';

/** Length of the block by which prompts are compared, in characters. */
const BLOCK_LENGTH = 1024;
/** An endpoint with a cached prefix may have a wait this much longer than the best, in milliseconds. */
export const AFFINITY_MAX_EXTRA_WAIT_MS = 150;
/** And requests in proportion to its slots up to this. */
export const AFFINITY_MAX_UTILIZATION = 0.9;

/** Names the first block of a prompt; undefined when the prompt is shorter than a block. */
export function prefixKeyOf(model: string, prompt: string): string | undefined {
  if (prompt.length < BLOCK_LENGTH) return undefined;
  const block = prompt.slice(0, BLOCK_LENGTH);
  return createHash('sha256').update(`${model}\n${block}`).digest('base64url');
}
