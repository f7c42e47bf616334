/** Every command line that the README and the operators' pages show does what it says. */
import {afterAll, beforeAll, expect, it, vi} from 'vitest';
import {CommandEnvironment} from '../__fixtures__/commandEnvironment.js';
import {documentedLines} from '../__fixtures__/documentedLines.js';

/** Ends a command that waits for ever. How long an experiment runs is up to the machine. */
const COMMAND_TIMEOUT_MS = 600_000;
const lines = documentedLines();

let environment: CommandEnvironment;

beforeAll(async () => {
  vi.spyOn(console, 'log').mockReturnValue();
  environment = await CommandEnvironment.start();
});

afterAll(async () => {
  await environment[Symbol.asyncDispose]();
});

it('finds the lines of the pages', () => {
  expect(lines.map(({text}) => text)).toContain('npm start');
  expect(lines.length).toBeGreaterThan(10);
});

it.each(lines.map(({location, text}) => [location, text]))(
  '%s %s',
  async (_place, text) => {
    expect(await environment.run(text)).toBeUndefined();
  },
  COMMAND_TIMEOUT_MS,
);
