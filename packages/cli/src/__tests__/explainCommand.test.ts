import {spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, openSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';

const program = join(import.meta.dirname, '../../bin/run.js');
const log = `${JSON.stringify({
  time: '2026-01-01T00:00:00.000Z',
  level: 'info',
  process: 'front-1',
  message: 'client gone',
  request: 'r-1',
})}\n`;

let folder: string;
let file: string;

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'marigoldfold-explain-'));
  file = join(folder, 'front.log');
  writeFileSync(file, log);
});

afterAll(() => {
  rmSync(folder, {recursive: true});
});

function explain(files: readonly string[], input: {input: string} | {stdio: [number]}) {
  const processArgs = [program, 'explain', 'r-1', ...files];
  return spawnSync(process.execPath, processArgs, {encoding: 'utf8', ...input});
}

/**
 * When a file argument is missing, oclif fills it with the text of standard input. The command then took the log text
 * for a file name.
 */
describe('the explain command', () => {
  test.each([
    ['a pipe', () => explain([], {input: log})],
    ['a redirected file', () => explain([], {stdio: [openSync(file, 'r')]})],
    ['a file, with an empty pipe as standard input', () => explain([file], {input: ''})],
    ['two files', () => explain([file, file], {input: ''})],
  ])('reads log lines from %s', (_name, run) => {
    const {status, stdout, stderr} = run();
    expect(stderr).toBe('');
    expect(stdout).toContain('front-1  client gone');
    expect(status).toBe(0);
  });

  test('reads a pipe that is still empty when the command starts', async () => {
    const child = spawn(process.execPath, [program, 'explain', 'r-1'], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    let output = '';
    child.stdout.on('data', (part: Buffer) => (output += part.toString()));
    // After 4 s the command normally waits for input. If it starts more slowly, the input is already available, and
    // the test passes as well.
    setTimeout(() => child.stdin.end(log), 4000);
    const [status] = (await once(child, 'close')) as [number];
    expect(output).toContain('front-1  client gone');
    expect(status).toBe(0);
  });

  test('reports the name of a file that does not exist', () => {
    const {status, stderr} = explain([join(folder, 'none.log')], {input: log});
    expect(stderr).toContain('none.log: cannot be read');
    expect(status).toBe(2);
  });
});
