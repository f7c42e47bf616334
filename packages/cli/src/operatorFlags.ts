/** Flags that every command of an operator takes. */
import {readFileSync} from 'node:fs';
import {Command, Flags} from '@oclif/core';
import type {Result} from 'neverthrow';
import type {OperatorError} from '@marigoldfold/entry';
import {createOperatorClient, formatOperatorError, type OperatorClient} from './operatorClient.js';

/** Where the operators' API is and who calls it. */
export const operatorFlags = {
  operators: Flags.string({
    description: "address of an entry's operators' port",
    env: 'MARIGOLDFOLD_OPERATORS',
    default: '127.0.0.1:8081',
  }),
  'operator-key': Flags.string({
    description: "the operator's bearer key",
    env: 'MARIGOLDFOLD_OPERATOR_KEY',
    required: true,
  }),
  json: Flags.boolean({description: 'print JSON'}),
};

/** A command that talks to the operators' API. */
export abstract class OperatorCommand extends Command {
  /** Connects as the flags say. */
  protected connect(flags: {
    readonly operators: string;
    readonly 'operator-key': string;
  }): OperatorClient {
    return createOperatorClient({
      address: flags.operators,
      operatorKey: flags['operator-key'],
    });
  }

  /** The value of a result; a failure ends the command with exit code 1. */
  protected unwrapOrExit<T>(result: Result<T, OperatorError>): T {
    if (result.isErr()) this.error(formatOperatorError(result.error), {exit: 1});
    return result.value;
  }

  /** Reads a file; a failure ends the command with exit code 2. */
  protected readFileOrExit(path: string): string {
    try {
      return readFileSync(path, 'utf8');
    } catch {
      this.error(`${path} cannot be read`, {exit: 2});
    }
  }
}
