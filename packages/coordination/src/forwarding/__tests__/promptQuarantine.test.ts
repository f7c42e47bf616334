import {silentLogger, VirtualClock} from '@marigoldfold/runtime';
import {beforeEach, describe, expect, test} from 'vitest';
import type {PromptSize} from '../placementRequest.js';
import {PromptQuarantine, QUARANTINE_MS} from '../promptQuarantine.js';

let clock: VirtualClock;
let quarantine: PromptQuarantine;
let found: string[];
let cleared: string[];

beforeEach(() => {
  clock = new VirtualClock();
  found = [];
  cleared = [];
  quarantine = new PromptQuarantine({
    clock,
    logger: silentLogger,
    onQuarantined: (digest) => found.push(digest),
    onCleared: (digest) => cleared.push(digest),
  });
});

function promptOf(...parts: readonly string[]): PromptSize {
  return {
    parts: [...parts, 'own'].map((id) => ({id, tokens: 10})),
    promptTokens: 50,
    maxOutputTokens: 5,
  };
}

/** Crashes a new endpoint with requests that have the given parts, then lets a second pass. */
async function crash(lifetime: string, ...requests: readonly (readonly string[])[]): Promise<void> {
  for (const parts of requests) quarantine.recordCrash({lifetime, parts});
  await clock.advance(1000);
}

/** Lets sound requests begin elsewhere. */
function beginOthers(): void {
  quarantine.recordBegun(promptOf('other'));
}

describe('a prompt part is quarantined', () => {
  test('after three crashes at which requests with it had not begun', async () => {
    for (const lifetime of ['e1', 'e2']) {
      await crash(lifetime, ['bad']);
      beginOthers();
    }
    expect(quarantine.isQuarantined(promptOf('bad'))).toBe(false);
    await crash('e3', ['bad']);
    expect(quarantine.isQuarantined(promptOf('bad'))).toBe(true);
    expect(quarantine.isQuarantined(promptOf('good'))).toBe(false);
    expect(found).toHaveLength(1);
  });

  // Guards against the end of the process by crashes under more parts than a call can have arguments.
  test('after crashes at which very many parts were present', async () => {
    const parts = Array.from({length: 150_000}, (_, index) => `part-${index}`);
    for (const lifetime of ['e1', 'e2', 'e3']) {
      await crash(lifetime, parts);
      beginOthers();
    }
    expect(found).toHaveLength(1);
  });

  test('not for the part that ends the prompt, which no other request shares', async () => {
    for (const lifetime of ['e1', 'e2', 'e3']) {
      await crash(lifetime, ['bad']);
      beginOthers();
    }
    expect(quarantine.isQuarantined({...promptOf(), parts: [{id: 'bad', tokens: 1}]})).toBe(false);
  });

  test('instead of the shared parts with which requests begin elsewhere', async () => {
    for (const lifetime of ['e1', 'e2', 'e3', 'e4']) {
      await crash(lifetime, ['common', 'bad'], ['common', `session-${lifetime}`]);
      quarantine.recordBegun(promptOf('common', 'other'));
    }
    expect(quarantine.isQuarantined(promptOf('common', 'other'))).toBe(false);
    expect(quarantine.isQuarantined(promptOf('common', 'bad'))).toBe(true);
  });

  test('instead of an earlier part of its prompts that was at the same crashes', async () => {
    for (const lifetime of ['e1', 'e2', 'e3']) {
      await crash(lifetime, ['session', 'bad']);
      beginOthers();
    }
    expect(quarantine.isQuarantined(promptOf('session'))).toBe(false);
    expect(quarantine.isQuarantined(promptOf('session', 'bad'))).toBe(true);
    // One more crash without the later part shows that the earlier one is the cause.
    quarantine.recordCrash({lifetime: 'e4', parts: ['session']});
    await clock.advance(100);
    beginOthers();
    await clock.advance(1000);
    expect(quarantine.isQuarantined(promptOf('session'))).toBe(true);
  });

  test('but one that was at the same crashes long ago only after three more', async () => {
    for (const lifetime of ['e1', 'e2', 'e3']) {
      await crash(lifetime, ['session', 'bad']);
      beginOthers();
    }
    await clock.advance(120_000);
    quarantine.recordCrash({lifetime: 'e4', parts: ['session']});
    await clock.advance(100);
    beginOthers();
    await clock.advance(1000);
    expect(quarantine.isQuarantined(promptOf('session'))).toBe(false);
  });

  test('as reported by several instances, a crash counting once', async () => {
    await crash('e1', ['bad'], ['bad'], ['bad']);
    beginOthers();
    await crash('e1', ['bad']);
    expect(quarantine.isQuarantined(promptOf('bad'))).toBe(false);
  });

  test('until a request with it begins', async () => {
    for (const lifetime of ['e1', 'e2', 'e3']) {
      await crash(lifetime, ['bad']);
      beginOthers();
    }
    quarantine.recordBegun(promptOf('bad'));
    expect(quarantine.isQuarantined(promptOf('bad'))).toBe(false);
    expect(cleared).toEqual(found);
  });

  test('until the quarantine ends', async () => {
    quarantine.add('1');
    await clock.advance(QUARANTINE_MS + 1);
    quarantine.isQuarantined(promptOf('any'));
    expect(quarantine.size).toBe(0);
  });
});

describe('a prompt part is not quarantined', () => {
  test('when many endpoints crash at the same moment', async () => {
    for (const lifetime of ['e1', 'e2', 'e3', 'e4'])
      quarantine.recordCrash({lifetime, parts: ['p']});
    beginOthers();
    await clock.advance(2000);
    expect(quarantine.isQuarantined(promptOf('p'))).toBe(false);
  });

  test('while no request of any kind begins', async () => {
    for (const lifetime of ['e1', 'e2', 'e3', 'e4']) await crash(lifetime, ['p']);
    expect(quarantine.isQuarantined(promptOf('p'))).toBe(false);
  });

  test('for crashes that a quarantined part explains', async () => {
    for (const lifetime of ['e1', 'e2', 'e3']) {
      await crash(lifetime, ['bad']);
      beginOthers();
    }
    for (const lifetime of ['e4', 'e5', 'e6']) {
      await crash(lifetime, ['bystander'], ['bad']);
      beginOthers();
    }
    expect(quarantine.isQuarantined(promptOf('bystander'))).toBe(false);
  });
});

test('a request is suspect after two crashes, and no more once one like it has begun', async () => {
  await crash('e1', ['bad']);
  expect(quarantine.isSuspect(promptOf('bad'))).toBe(false);
  await crash('e2', ['bad']);
  expect(quarantine.isSuspect(promptOf('bad'))).toBe(true);
  quarantine.recordBegun(promptOf('bad'));
  expect(quarantine.isSuspect(promptOf('bad'))).toBe(false);
});
