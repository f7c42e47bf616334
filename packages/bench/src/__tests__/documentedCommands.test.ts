/** Runs every command line that the README and the operators' pages show. */
import {afterAll, beforeAll, expect, it, vi} from 'vitest';
import {CommandEnvironment} from '../__fixtures__/commandEnvironment.js';
import {readDocumentedCommandLines} from '../__fixtures__/documentedLines.js';

/** A command that takes longer fails the test. Long, because experiments take longer on a slow machine. */
const COMMAND_TIMEOUT_MS = 600_000;
const lines = readDocumentedCommandLines();

let environment: CommandEnvironment;

beforeAll(async () => {
  vi.spyOn(console, 'log').mockReturnValue();
  environment = await CommandEnvironment.start();
});

afterAll(async () => {
  await environment[Symbol.asyncDispose]();
});

it('the pages contain command lines', () => {
  expect(lines.map(({text}) => text)).toContain('npm start');
  expect(lines.length).toBeGreaterThan(10);
});

it.each(lines.map(({location, text}) => [location, text]))(
  '%s %s',
  async (_location, text) => {
    expect(await environment.run(text)).toBeUndefined();
  },
  COMMAND_TIMEOUT_MS,
);
