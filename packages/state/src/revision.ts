/** Positions in the history of a key-value service. */

/**
 * A position in the history of a key-value service. A service that is restored from an older copy begins a new era, in
 * which it gives numbers out again, so that a number means nothing without its era.
 */
export interface Revision {
  /** Rises with each restore. */
  readonly era: number;
  readonly number: number;
}

/** Revision that a key must have to be written; 0 if it must not exist. */
export type RevisionCondition = Revision | 0;

/** Whether a revision is later than another one of the same era; false if their eras differ. */
export function isLater(revision: Revision, other: Revision): boolean {
  return revision.era === other.era && revision.number > other.number;
}

/** The era to which a condition belongs; undefined if it holds in any. */
export function eraOfCondition(condition: RevisionCondition): number | undefined {
  return condition === 0 ? undefined : condition.era;
}

/** The number of a condition: 0 if the key must not exist. */
export function numberOfCondition(condition: RevisionCondition): number {
  return condition === 0 ? 0 : condition.number;
}
