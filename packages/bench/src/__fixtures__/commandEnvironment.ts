/** Runs documented commands against a local system, in a temporary directory. */
import {existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {type LocalSystem, operatorCommands, startLocalSystem} from '@marigoldfold/cli';
import {silentLogger} from '@marigoldfold/runtime';
import {claimCall, openRecord} from '@marigoldfold/state';
import {commands as benchCommands} from '../commands/index.js';
import {resolveRepositoryFile, splitWords} from './documentedLines.js';

/** The static method by which an oclif command class is run. */
interface Runnable {
  run(argv: string[], options: {readonly root: string}): Promise<unknown>;
}

type Commands = Readonly<Record<string, unknown>>;

/** Maximum in seconds for the `--for` option: longer documented durations are shortened to this. */
const MAX_DURATION_S = 1;
/** Age of the example claim in milliseconds; operators can only settle claims of some age. */
const CLAIM_AGE_MS = 3_600_000;
const exampleAddress = /^10\.\d+\.\d+\.\d+:\d+$/;
const claimKey = {account: 'parish-choir', idempotencyKey: 'order-17'};
const exampleTicket = `reason = 'the civic band'
[[changes]]
kind = 'class'
name = 'band'
[changes.state]
tier = 4
firstTokenMs = 8000
endpointSets = ['engines']
`;

/** A local system with the files, ticket and claim that the documented examples refer to. */
export class CommandEnvironment implements AsyncDisposable {
  readonly #directory = mkdtempSync(join(tmpdir(), 'marigoldfold-pages-'));
  readonly #system: LocalSystem;

  private constructor(system: LocalSystem) {
    this.#system = system;
    const {monitor, operator} = system.keys;
    process.env.MARIGOLDFOLD_OPERATORS = system.entry.operators.address;
    process.env.MARIGOLDFOLD_OPERATOR_KEY = operator;
    this.#write('monitor.pem', monitor.privateKeyPem);
    this.#write('monitor.pub', monitor.publicKey);
    this.#write('band.toml', exampleTicket);
  }

  /** Starts the system, writes the example files and creates the claim. */
  static async start(): Promise<CommandEnvironment> {
    const started = await startLocalSystem({port: 0, operatorsPort: 0, logger: silentLogger});
    const environment = new CommandEnvironment(started._unsafeUnwrap());
    const claim = {
      attempt: 'attempt-1',
      requestDigest: 'digest',
      claimedAtMs: Date.now() - CLAIM_AGE_MS,
    };
    (await claimCall(environment.#system.keyValue.implementation, claimKey, claim))._unsafeUnwrap();
    return environment;
  }

  /** Runs a command line; resolves with the problem, or with undefined if it succeeded. */
  async run(text: string): Promise<string | undefined> {
    const [program = '', ...words] = splitWords(text.replace(/^npx /, ''));
    if (program === 'npm') return checkNpm(words);
    if (program === 'node' && words[0] === 'packages/bench/bin/run.js') {
      return this.#runCommand(benchCommands, 'packages/bench', words.slice(1));
    }
    if (program === 'marigoldfold-bench') {
      return this.#runCommand(benchCommands, 'packages/bench', words);
    }
    if (program === 'marigoldfold') {
      return this.#runCommand(operatorCommands, 'packages/cli', words);
    }
    return `unknown program ${program}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#system.drain();
    rmSync(this.#directory, {recursive: true});
  }

  async #runCommand(
    commands: Commands,
    root: string,
    words: readonly string[],
  ): Promise<string | undefined> {
    const commandLength = [2, 1].find((count) => words.slice(0, count).join(':') in commands);
    if (commandLength === undefined) return 'unknown command';
    const id = words.slice(0, commandLength).join(':');
    const number = await this.#prepareTicket(id);
    const argv = this.#substitute(words.slice(commandLength), number);
    try {
      await (commands[id] as Runnable).run([...argv], {root: resolveRepositoryFile(root)});
      return undefined;
    } catch (error) {
      const {oclif, message} = error as {oclif?: {exit?: number}; message: string};
      return oclif?.exit === 0 ? undefined : message;
    }
  }

  /** Number of the ticket to use in a command; proposes a ticket if the command decides one and none is open. */
  async #prepareTicket(id: string): Promise<number> {
    const record = openRecord(this.#system.keyValue.implementation);
    const {tickets, decisions} = (await record.read(0))._unsafeUnwrap();
    if (id !== 'ticket:approve' && id !== 'ticket:reject') return tickets.length;
    if (tickets.length === decisions.length) {
      await this.run('marigoldfold ticket propose band.toml');
    }
    return decisions.length + 1;
  }

  /** Replaces the files, addresses and numbers of an example by those of this environment. */
  #substitute(words: readonly string[], number: number): readonly string[] {
    return words.map((word, index) => this.#substituteWord(word, words[index - 1] ?? '', number));
  }

  #substituteWord(word: string, previousWord: string, number: number): string {
    const file = /^\$\(cat (.*)\)$/.exec(word)?.[1];
    if (file !== undefined) return readFileSync(join(this.#directory, file), 'utf8').trim();
    if (previousWord === '--for') return String(Math.min(Number(word), MAX_DURATION_S));
    if (previousWord === '--out') return join(this.#directory, word);
    if (exampleAddress.test(word)) return this.#system.entry.operators.address;
    if (/^\d+$/.test(word)) {
      return previousWord.startsWith('--') ? word : String(Math.min(Number(word), number));
    }
    if (!/\.[a-z]+$/.test(word)) return word;
    const path = resolveRepositoryFile(word);
    return existsSync(path) ? path : join(this.#directory, word);
  }

  #write(name: string, text: string): void {
    writeFileSync(join(this.#directory, name), text);
  }
}

/** Checks that the script of an npm command exists in package.json. */
function checkNpm([verb = '', name = '']: readonly string[]): string | undefined {
  if (verb === 'ci') return undefined;
  const text = readFileSync(resolveRepositoryFile('package.json'), 'utf8');
  const {scripts} = JSON.parse(text) as {scripts: Readonly<Record<string, string>>};
  const script = verb === 'run' ? name : verb;
  return script in scripts ? undefined : `package.json has no script ${script}`;
}
