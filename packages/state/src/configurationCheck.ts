/**
 * Lists the fields that a ticket changes, and checks configurations for errors such as references to missing objects.
 */
import {tierCount} from '@marigoldfold/protocol';
import type {Change, Configuration} from './configuration.js';
import {canonicalJson} from './digest.js';
import type {EndpointSet, RequestClass} from './objects.js';

/** One field that a ticket changes. */
export interface FieldDifference {
  /** Kind and name of the object, such as `account/civic-band`. */
  readonly object: string;
  /** Path of the field with dots between its parts; empty for the whole object. */
  readonly field: string;
  /** JSON before the change; absent when the field is new. */
  readonly before?: string;
  /** JSON after the change; absent when the field is removed. */
  readonly after?: string;
}

/** A failed check of a configuration. */
export interface CheckFailure {
  /** An `error` rejects the ticket; a `warning` is reported to its author and the monitor. */
  readonly severity: 'error' | 'warning';
  readonly check: 'reference' | 'unserved_class' | 'urgent_capacity' | 'minimum_ready';
  readonly object: string;
  readonly message: string;
}

const URGENT_TIER = 0;

/** Lists the fields that the changes alter, in the order of the changes. */
export function compareFields(
  before: Configuration,
  changes: readonly Change[],
): readonly FieldDifference[] {
  const differences: FieldDifference[] = [];
  for (const {kind, name, state} of changes) {
    const object = `${kind}/${name}`;
    const fieldsBefore = flattenFields(before.find(kind, name)?.rawState);
    const fieldsAfter = state === null ? new Map<string, string>() : flattenFields(state);
    for (const field of [...new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()])].sort()) {
      const [beforeJson, afterJson] = [fieldsBefore.get(field), fieldsAfter.get(field)];
      if (beforeJson === afterJson) continue;
      differences.push({
        object,
        field,
        ...(beforeJson === undefined ? {} : {before: beforeJson}),
        ...(afterJson === undefined ? {} : {after: afterJson}),
      });
    }
  }
  return differences;
}

function flattenFields(value: unknown, path = ''): Map<string, string> {
  const fields = new Map<string, string>();
  if (value === undefined) return fields;
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    fields.set(path, canonicalJson(value));
    return fields;
  }
  for (const [key, item] of Object.entries(value)) {
    const inner = flattenFields(item, path === '' ? key : `${path}.${key}`);
    for (const [field, text] of inner) fields.set(field, text);
  }
  return fields;
}

/** Runs all checks; returns the failed ones. */
export function checkConfiguration(configuration: Configuration): readonly CheckFailure[] {
  return [
    ...checkReferences(configuration),
    ...checkServedClasses(configuration),
    ...checkUrgentCapacity(configuration),
    ...checkMinimumReady(configuration),
  ];
}

/** Returns the failures of the configuration after a change, without those that it had in the same form before. */
export function findNewFailures(
  before: Configuration,
  after: Configuration,
): readonly CheckFailure[] {
  const known = new Set(checkConfiguration(before).map(canonicalJson));
  return checkConfiguration(after).filter((failure) => !known.has(canonicalJson(failure)));
}

function* checkReferences(configuration: Configuration): Generator<CheckFailure> {
  const classes = configuration.all('class');
  const sets = configuration.all('endpointSet');
  for (const [name, {classes: used, defaultClass}] of configuration.all('account')) {
    const object = `account/${name}`;
    for (const item of used) {
      if (!classes.has(item)) yield missingReference(object, 'class', item);
    }
    if (!used.includes(defaultClass)) {
      const message = `the default class ${defaultClass} is not among the classes of ${object}`;
      yield {severity: 'error', check: 'reference', object, message};
    }
  }
  for (const [name, {endpointSets}] of classes) {
    for (const item of endpointSets) {
      if (!sets.has(item)) yield missingReference(`class/${name}`, 'endpointSet', item);
    }
  }
  for (const [name, {set}] of configuration.all('endpoint')) {
    if (!sets.has(set)) yield missingReference(`endpoint/${name}`, 'endpointSet', set);
  }
}

function missingReference(object: string, kind: string, name: string): CheckFailure {
  const message = `${object} refers to ${kind}/${name}, which does not exist`;
  return {severity: 'error', check: 'reference', object, message};
}

function* checkServedClasses(configuration: Configuration): Generator<CheckFailure> {
  const endpointCounts = countEndpoints(configuration);
  for (const [name, {endpointSets}] of configuration.all('class')) {
    if (endpointSets.some((set) => (endpointCounts.get(set) ?? 0) > 0)) continue;
    const message = `no endpoint can serve class/${name}`;
    yield {severity: 'warning', check: 'unserved_class', object: `class/${name}`, message};
  }
}

function countEndpoints(configuration: Configuration): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {set} of configuration.all('endpoint').values()) {
    counts.set(set, (counts.get(set) ?? 0) + 1);
  }
  return counts;
}

/** Warns when accounts may have more tier 0 requests in flight than the endpoints of their classes have slots for. */
function* checkUrgentCapacity(configuration: Configuration): Generator<CheckFailure> {
  const urgent = [...configuration.all('class')].filter(([, {tier}]) => tier === URGENT_TIER);
  if (urgent.length === 0) return;
  const names = new Set(urgent.map(([name]) => name));
  const demand = sumUrgentDemand(configuration, names);
  const capacity = sumUrgentCapacity(
    configuration,
    urgent.map(([, state]) => state),
  );
  if (demand <= capacity) return;
  const message = `accounts may have ${demand} urgent requests in flight, but endpoints serve ${capacity.toFixed(1)} of them beside the guaranteed shares of lower tiers`;
  yield {
    severity: 'warning',
    check: 'urgent_capacity',
    object: `class/${[...names].sort().join(',')}`,
    message,
  };
}

function sumUrgentDemand(configuration: Configuration, urgent: ReadonlySet<string>): number {
  let demand = 0;
  for (const {classes, concurrency} of configuration.all('account').values()) {
    if (classes.some((name) => urgent.has(name))) demand += concurrency;
  }
  return demand;
}

function sumUrgentCapacity(configuration: Configuration, urgent: readonly RequestClass[]): number {
  const usable = new Set(urgent.flatMap(({endpointSets}) => endpointSets));
  const counts = countEndpoints(configuration);
  let capacity = 0;
  for (const [name, set] of configuration.all('endpointSet')) {
    if (!usable.has(name)) continue;
    capacity += (counts.get(name) ?? 0) * set.slots * (1 - sumLowerTierShares(configuration, name));
  }
  return capacity;
}

/**
 * Sums the guaranteed shares of the lower tiers at an endpoint set; for a tier with several classes, the largest
 * share counts.
 */
function sumLowerTierShares(configuration: Configuration, set: string): number {
  const shares = Array<number>(tierCount).fill(0);
  for (const {tier, endpointSets, guaranteedShare} of configuration.all('class').values()) {
    if (tier === URGENT_TIER || !endpointSets.includes(set)) continue;
    shares[tier] = Math.max(shares[tier] ?? 0, guaranteedShare);
  }
  return Math.min(
    1,
    shares.reduce((total, share) => total + share, 0),
  );
}

function* checkMinimumReady(configuration: Configuration): Generator<CheckFailure> {
  const counts = countEndpoints(configuration);
  for (const [name, {minimumReady}] of configuration.all('endpointSet') as ReadonlyMap<
    string,
    EndpointSet
  >) {
    const count = counts.get(name) ?? 0;
    if (count >= minimumReady || count === 0) continue;
    const message = `endpointSet/${name} keeps ${minimumReady} endpoints ready but has ${count}`;
    yield {severity: 'warning', check: 'minimum_ready', object: `endpointSet/${name}`, message};
  }
}
