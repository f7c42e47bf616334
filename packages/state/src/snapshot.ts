/** Snapshots: the whole configuration with the signatures that make it trustworthy. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {isSignedBy} from './decisionSigning.js';
import {type ChainHead, monitorObjectName} from './chain.js';
import {Configuration, type ShardContent, shardCount} from './configuration.js';
import {kinds, objectSchemas} from './objects.js';
import {type DecidedTicket, decidedTicketSchema, ticketDigest} from './ticket.js';

/** Checks one shard that came from elsewhere. */
export const shardContentSchema = z.object({
  objects: z
    .array(z.object({kind: z.enum(kinds), name: z.string(), state: z.unknown()}))
    .readonly(),
  numbers: z.array(z.number()).readonly(),
  removals: z.array(z.object({key: z.string(), number: z.number()})).readonly(),
});

/** Checks what proves a snapshot. */
export const snapshotProofSchema = z.object({
  /** The last decided ticket; its decision signs the state digest. */
  last: decidedTicketSchema,
  /** Every ticket that changed the monitor's key, oldest first. */
  rotations: z.array(decidedTicketSchema),
});

/** What proves a snapshot. */
export type SnapshotProof = Readonly<z.infer<typeof snapshotProofSchema>>;

/** The configuration after a ticket, with its proof. */
export interface Snapshot {
  readonly proof: SnapshotProof;
  readonly shards: readonly ShardContent[];
}

/** The monitor's key that a ticket brings; undefined when it brings none. */
export function newMonitorKey({ticket, decision}: DecidedTicket): string | undefined {
  if (decision.verdict !== 'approved') return undefined;
  for (const {kind, name, state} of ticket.changes) {
    if (kind !== 'monitor' || name !== monitorObjectName || state === null) continue;
    return objectSchemas.monitor.safeParse(state).data?.publicKey;
  }
  return undefined;
}

/**
 * Checks a snapshot against the monitor's first public key.
 * The digest of what it holds must be the one that the monitor signed.
 */
export function verifySnapshot(
  snapshot: Snapshot,
  firstPublicKey: string,
): Result<ChainHead, string> {
  const {proof, shards} = snapshot;
  const key = verifyRotations(proof, firstPublicKey);
  if (key.isErr()) return err(key.error);
  if (shards.length !== shardCount) return err(`it has ${shards.length} shards`);
  const problem = findInvalidObject(shards);
  if (problem !== undefined) return err(problem);
  const configuration = Configuration.load(shards);
  const {ticket, decision} = proof.last;
  if (decision.stateDigest !== configuration.digest) {
    return err(`its state is not the one signed with ticket ${decision.number}`);
  }
  const monitorKey = newMonitorKey(proof.last) ?? key.value;
  return ok({number: ticket.number, digest: ticketDigest(ticket), configuration, monitorKey});
}

/** The monitor's key that the last decision must be signed with. */
function verifyRotations(proof: SnapshotProof, firstPublicKey: string): Result<string, string> {
  let key = firstPublicKey;
  let previous = 0;
  for (const rotation of proof.rotations) {
    const {number} = rotation.ticket;
    const next = newMonitorKey(rotation);
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
    if (numbers.length !== objects.length) return 'a shard lacks the ticket of an object';
    for (const {kind, name, state} of objects) {
      if (!objectSchemas[kind].safeParse(state).success) return `${kind}/${name} is not valid`;
    }
  }
  return undefined;
}
