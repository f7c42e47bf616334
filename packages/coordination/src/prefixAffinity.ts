/**
 * Prefix affinity: prompts with the same first block are
 * routed to one endpoint to reuse its prefix cache.
 */
import {createHash} from 'node:crypto';

/** Length, in characters, of the first block of a prompt; prompts with equal first blocks share a key. */
const BLOCK_LENGTH = 1024;
/** Maximum wait at the affinity target in excess of the shortest wait of other endpoints, in milliseconds. */
export const AFFINITY_MAX_EXTRA_WAIT_MS = 150;
/** Utilization above which the affinity target is no longer preferred. */
export const AFFINITY_MAX_UTILIZATION = 0.9;

/** Digest of the model and the first block of a prompt; undefined when the prompt is shorter than a block. */
export function prefixKeyOf(model: string, prompt: string): string | undefined {
  if (prompt.length < BLOCK_LENGTH) return undefined;
  const block = prompt.slice(0, BLOCK_LENGTH);
  return createHash('sha256').update(`${model}\n${block}`).digest('base64url');
}
