/** The command `marigoldfold dev`. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createLogger, logLevels, type LogLevel} from '@marigoldfold/runtime';
import {Command, Flags} from '@oclif/core';
import {type LocalSystem, startLocalSystem} from '../localSystem.js';

const OWNER_ONLY = 0o600;

/** Runs the whole system on loopback for development and prints how to call it. */
export class Dev extends Command {
  static override readonly description =
    'Runs the whole system on loopback with stand-ins, until it is interrupted.';
  static override readonly examples = ['marigoldfold dev', 'marigoldfold dev --port 9080'];
  static override readonly flags = {
    port: Flags.integer({description: 'port for callers', default: 8080, min: 1, max: 65_534}),
    'operators-port': Flags.integer({description: 'port for operators; the next one when absent'}),
    'log-level': Flags.string({
      description: 'lowest level to log, to standard error',
      options: [...logLevels],
      default: 'warn',
    }),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(Dev);
    const system = await startLocalSystem({
      port: flags.port,
      operatorsPort: flags['operators-port'] ?? flags.port + 1,
      logger: createLogger({process: 'dev', level: flags['log-level'] as LogLevel}),
    });
    if (system.isErr()) this.error(system.error, {exit: 1});
    const directory = mkdtempSync(join(tmpdir(), 'marigoldfold-dev-'));
    const monitorKeyFile = join(directory, 'monitor.pem');
    const {keys} = system.value;
    writeFileSync(monitorKeyFile, keys.monitor.privateKeyPem, {mode: OWNER_ONLY});
    this.#printInstructions(system.value, monitorKeyFile);
    await new Promise<void>((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
    this.log('stopping: waiting for requests in flight to finish');
    await system.value.drain();
    rmSync(directory, {recursive: true});
    this.log('stopped');
    this.exit(0);
  }

  #printInstructions({entry, keys}: LocalSystem, monitorKeyFile: string): void {
    const url = `http://${entry.callers.address}`;
    this.log(`marigoldfold is ready: callers on ${url}, operators on ${entry.operators.address}
client key: ${keys.client}

Try:
  curl -N ${url}/v1/chat/completions -H 'authorization: Bearer ${keys.client}' \\
    -H 'content-type: application/json' \\
    -d '{"model":"score-reader","stream":true,"messages":[{"role":"user","content":"Bar 12: slur or tie?"}]}'
  curl ${url}/v1/services/ledger/postings -H 'authorization: Bearer ${keys.client}' \\
    -H 'idempotency-key: order-1' -d '{"account":"parish-choir","pence":1200}'

Operators, in another terminal:
  export MARIGOLDFOLD_OPERATORS=${entry.operators.address} MARIGOLDFOLD_OPERATOR_KEY=${keys.operator}
  export MARIGOLDFOLD_MONITOR_PRIVATE_KEY_FILE=${monitorKeyFile}
  npx marigoldfold status
  npx marigoldfold ticket list`);
  }
}
