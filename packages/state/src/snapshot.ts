/** Snapshots: the complete configuration with the signed tickets that prove it. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {isSignedBy} from './decisionSigning.js';
import {type ChainHead, monitorObjectName} from './chain.js';
import {Configuration, type ShardContent, shardCount} from './configuration.js';
import {kinds, objectSchemas} from './objects.js';
import {type DecidedTicket, decidedTicketSchema, ticketDigest} from './ticket.js';

/** Schema of a shard that was read from the key-value service or another process. */
export const shardContentSchema = z.object({
  objects: z
    .array(z.object({kind: z.enum(kinds), name: z.string(), state: z.unknown()}))
    .readonly(),
  numbers: z.array(z.number()).readonly(),
  removals: z.array(z.object({key: z.string(), number: z.number()})).readonly(),
});

/** Schema of a snapshot's proof. */
export const snapshotProofSchema = z.object({
  /** The last decided ticket; its decision signs the state digest. */
  last: decidedTicketSchema,
  /** All tickets that changed the monitor's public key, oldest first. */
  rotations: z.array(decidedTicketSchema),
});

/** The decided tickets whose signatures prove that a snapshot is the monitor's configuration. */
export type SnapshotProof = Readonly<z.infer<typeof snapshotProofSchema>>;

/** The shards of the configuration after a ticket, with their proof. */
export interface Snapshot {
  readonly proof: SnapshotProof;
  readonly shards: readonly ShardContent[];
}

/** Returns the monitor's public key that an approved ticket sets; undefined when it sets none. */
export function findNewMonitorKey({ticket, decision}: DecidedTicket): string | undefined {
  if (decision.verdict !== 'approved') return undefined;
  for (const {kind, name, state} of ticket.changes) {
    if (kind !== 'monitor' || name !== monitorObjectName || state === null) continue;
    return objectSchemas.monitor.safeParse(state).data?.publicKey;
  }
  return undefined;
}

/**
 * Verifies a snapshot against the monitor's first public key: the digest of its contents must match the one that the
 * monitor signed. The error describes the first failed check.
 */
export function verifySnapshot(
  snapshot: Snapshot,
  firstPublicKey: string,
): Result<ChainHead, string> {
  const {proof, shards} = snapshot;
  const lastKey = verifyRotations(proof, firstPublicKey);
  if (lastKey.isErr()) return err(lastKey.error);
  if (shards.length !== shardCount) return err(`the snapshot has ${shards.length} shards`);
  const invalidObject = findInvalidObject(shards);
  if (invalidObject !== undefined) return err(invalidObject);
  const configuration = Configuration.load(shards);
  const {ticket, decision} = proof.last;
  if (decision.stateDigest !== configuration.digest) {
    return err(`the state digest does not match the one signed with ticket ${decision.number}`);
  }
  const monitorKey = findNewMonitorKey(proof.last) ?? lastKey.value;
  return ok({number: ticket.number, digest: ticketDigest(ticket), configuration, monitorKey});
}

/**
 * Verifies the key rotations and the last decision; returns the monitor's public key that verified the last decision.
 */
function verifyRotations(proof: SnapshotProof, firstPublicKey: string): Result<string, string> {
  let key = firstPublicKey;
  let previous = 0;
  for (const rotation of proof.rotations) {
    const {number} = rotation.ticket;
    const next = findNewMonitorKey(rotation);
    if (number <= previous || next === undefined || !isDecisionSignedBy(rotation, key)) {
      return err(`the change of the monitor's key by ticket ${number} is not signed`);
    }
    if (number >= proof.last.ticket.number) break;
    key = next;
    previous = number;
  }
  if (isDecisionSignedBy(proof.last, key)) return ok(key);
  return err(`the decision on ticket ${proof.last.ticket.number} is not the monitor's`);
}

function isDecisionSignedBy({ticket, decision}: DecidedTicket, key: string): boolean {
  return (
    decision.number === ticket.number &&
    decision.ticketDigest === ticketDigest(ticket) &&
    isSignedBy(decision, key)
  );
}

function findInvalidObject(shards: readonly ShardContent[]): string | undefined {
  for (const {objects, numbers} of shards) {
    if (numbers.length !== objects.length) return 'a shard lacks the ticket number of an object';
    for (const {kind, name, state} of objects) {
      if (!objectSchemas[kind].safeParse(state).success) return `${kind}/${name} is not valid`;
    }
  }
  return undefined;
}
