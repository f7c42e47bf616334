/** Parses the objectives of classes from the command line. */
import {err, ok, type Result} from 'neverthrow';
import type {ObjectiveLookup} from './burnRates.js';

const DEFAULT_PERCENT = 95;
const PERCENT = 100;
const objectivePattern = /^(?:([^=]+)=)?(\d+(?:\.\d+)?)%?$/;

/** Parses `95` for all classes and `urgent=99` for one class; later values override earlier ones. */
export function parseObjectives(texts: readonly string[]): Result<ObjectiveLookup, string> {
  const byClass = new Map<string, number>();
  let defaultPercent = DEFAULT_PERCENT;
  for (const text of texts) {
    const [, name, number] = objectivePattern.exec(text) ?? [];
    const percent = Number(number);
    if (!(percent > 0 && percent < PERCENT)) {
      return err(
        `--objective ${text}: must be a percentage above 0 and below 100, such as 95 or urgent=99`,
      );
    }
    if (name === undefined) defaultPercent = percent;
    else byClass.set(name, percent);
  }
  return ok((className) => (byClass.get(className) ?? defaultPercent) / PERCENT);
}
