import {describe, expect, test} from 'vitest';
import {MAX_CACHED_PARTS, PromptCacheEstimate} from '../promptCacheEstimate.js';

function promptOf(ids: readonly string[], tokens: number) {
  const parts = ids.map((id) => ({id, tokens}));
  return {parts, promptTokens: ids.length * tokens, maxOutputTokens: 1};
}

function createIds(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `${prefix}${index}`);
}

describe('the estimate of a cache', () => {
  // Guards against a process that runs out of memory for prompts of many small parts.
  test.each([
    ['of one token', 1, 1_000_000],
    ['of no tokens', 0, 1000],
    ['of a capacity that is not known', 10, Number.POSITIVE_INFINITY],
  ])('holds a bounded number of parts %s', (_name, tokens, capacityTokens) => {
    const estimate = new PromptCacheEstimate();
    estimate.capacityTokens = capacityTokens;
    for (let number = 0; number < 40; number += 1)
      estimate.recordPrompt(promptOf(createIds(`p${number}-`, 1700), tokens));
    expect(estimate.size).toBeLessThanOrEqual(MAX_CACHED_PARTS);
  });

  test('drops the parts that were used least recently', () => {
    const estimate = new PromptCacheEstimate();
    estimate.capacityTokens = 1_000_000;
    const shared = promptOf(['shared'], 10);
    estimate.recordPrompt(promptOf(['old'], 10));
    for (let number = 0; number < 40; number += 1) {
      estimate.recordPrompt(shared);
      estimate.recordPrompt(promptOf(createIds(`p${number}-`, 200), 1));
    }
    expect(estimate.uncachedTokens(shared)).toBe(0);
    expect(estimate.uncachedTokens(promptOf(['old'], 10))).toBe(10);
  });
});
