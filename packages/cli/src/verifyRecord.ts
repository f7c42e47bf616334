/** Verifies a whole record by replaying it, as the monitor does. */
import {createInitialHead, replayRecord} from '@marigoldfold/state';
import type {RecordAnswer} from './operatorClient.js';

/** How far the record is valid, and the problems that were found. */
export interface Verification {
  readonly isWhole: boolean;
  /** Number of the last ticket up to which the record is valid and decided. */
  readonly number: number;
  readonly stateDigest: string;
  readonly undecided: readonly number[];
  /** The first violation of the chain's rules, followed by the stored values that cannot be parsed. */
  readonly problems: readonly string[];
}

/** Replays a record from its first ticket with the monitor's first public key (SPKI in base64). */
export function verifyRecord(record: RecordAnswer, firstPublicKey: string): Verification {
  const {head, undecided, firstViolation} = replayRecord(createInitialHead(firstPublicKey), record);
  const problems = (record.unreadable ?? []).map(({message}) => message);
  if (firstViolation !== undefined)
    problems.unshift(`ticket ${firstViolation.number}: ${firstViolation.message}`);
  const firstMissingNumber = head.number + undecided.length + 1;
  const decisionAfterGap = record.decisions.find(({number}) => number >= firstMissingNumber);
  if (firstViolation === undefined && decisionAfterGap !== undefined) {
    problems.unshift(
      `ticket ${firstMissingNumber} is missing, and ${decisionAfterGap.number} is decided`,
    );
  }
  return {
    isWhole: problems.length === 0,
    number: head.number,
    stateDigest: head.configuration.digest,
    undecided: undecided.map(({number}) => number),
    problems,
  };
}
