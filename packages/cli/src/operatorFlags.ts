/** Base class and common flags of the commands that call the operators' API. */
import {readFileSync} from 'node:fs';
import {Command, Flags} from '@oclif/core';
import type {Result} from 'neverthrow';
import type {OperatorError} from '@marigoldfold/entry';
import {createOperatorClient, formatOperatorError, type OperatorClient} from './operatorClient.js';

/** Flags for the address of the operators' API, the credentials and the output format. */
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

/** Base class of commands that call the operators' API; errors end the command with an exit code. */
export abstract class OperatorCommand extends Command {
  /** Creates a client of the operators' API with the address and credentials from the flags. */
  protected connect(flags: {
    readonly operators: string;
    readonly 'operator-key': string;
  }): OperatorClient {
    return createOperatorClient({
      address: flags.operators,
      operatorKey: flags['operator-key'],
    });
  }

  /** Returns the value of a result; an error ends the command with exit code 1. */
  protected unwrapOrExit<T>(result: Result<T, OperatorError>): T {
    if (result.isErr()) this.error(formatOperatorError(result.error), {exit: 1});
    return result.value;
  }

  /** Reads a text file; an error ends the command with exit code 2. */
  protected readFileOrExit(path: string): string {
    try {
      return readFileSync(path, 'utf8');
    } catch {
      this.error(`${path} cannot be read`, {exit: 2});
    }
  }
}
