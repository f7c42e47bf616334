/** Digests of instance lists and deltas between them. */
import type {Instance, InstanceListDelta} from '@marigoldfold/protocol';
import {hash64} from './hash.js';

const HEX_RADIX = 16;

/** Digest of a list, independent of the order of instances and of their fields. */
export function digestInstances(instances: readonly Instance[]): string {
  const lines = instances.map((instance) => JSON.stringify(sortedFields(instance)));
  return hash64(lines.sort().join('\n')).toString(HEX_RADIX);
}

function sortedFields(instance: Instance): readonly (readonly [string, unknown])[] {
  return Object.entries(instance).sort(([a], [b]) => (a < b ? -1 : 1));
}

/** Delta from one list to another; `removed` contains names, `changed` contains whole instances. */
export function diffInstances(
  from: readonly Instance[],
  to: readonly Instance[],
): Pick<InstanceListDelta, 'removed' | 'changed'> {
  const earlier = new Map(from.map((instance) => [instance.name, instance]));
  const changed: Instance[] = [];
  for (const instance of to) {
    const before = earlier.get(instance.name);
    earlier.delete(instance.name);
    if (before !== undefined && isSame(before, instance)) continue;
    changed.push(instance);
  }
  return {removed: [...earlier.keys()], changed};
}

function isSame(a: Instance, b: Instance): boolean {
  return JSON.stringify(sortedFields(a)) === JSON.stringify(sortedFields(b));
}

/** Applies a delta to a list and returns the new list. */
export function applyDelta(
  from: readonly Instance[],
  {removed, changed}: Pick<InstanceListDelta, 'removed' | 'changed'>,
): readonly Instance[] {
  const list = new Map(from.map((instance) => [instance.name, instance]));
  for (const name of removed) list.delete(name);
  for (const instance of changed) list.set(instance.name, instance);
  return [...list.values()];
}
