/** `marigoldfold-bench slopes`. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {dirname} from 'node:path';
import {formatTable} from '@marigoldfold/cli';
import {Command, Flags} from '@oclif/core';
import {measureCostSlopes} from '../slopes/measureSlopes.js';
import {fullSlopePlan} from '../slopes/plan.js';
import type {Slope} from '../slopes/slope.js';

const DIGITS = 5;

/** Prints the measured slopes and writes them with their points to a JSON file. */
export class SlopesCommand extends Command {
  static override readonly description =
    'Measures how bytes, processor time and memory of entry and agent grow with the size of a deployment.';
  static override readonly examples = [
    'marigoldfold-bench slopes --output docs/capacity/slopes.json',
  ];
  static override readonly flags = {
    output: Flags.string({
      description: 'file to write the slopes to as JSON',
      default: 'docs/capacity/slopes.json',
    }),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(SlopesCommand);
    const report = await measureCostSlopes(fullSlopePlan, (step) => {
      this.logToStderr(`${new Date().toISOString()} ${step}`);
    });
    const file = flags.output;
    mkdirSync(dirname(file), {recursive: true});
    writeFileSync(file, `${JSON.stringify(report, undefined, 2)}\n`);
    this.log(formatTable(['COST/SIZE', 'UNIT', 'AT ZERO', 'PER ONE'], report.slopes.map(rowOf)));
    this.exit(0);
  }
}

function rowOf({id, unit, intercept, slope}: Slope): readonly string[] {
  return [id, unit, intercept.toPrecision(DIGITS), slope.toPrecision(DIGITS)];
}
