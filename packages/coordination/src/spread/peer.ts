/** A peer, as the spreading of configurations sees it. */
import {
  exchangeMethod,
  type Instance,
  type ListDelta,
  listMethod,
  method,
  type Summary,
} from '@marigoldfold/protocol';
import {decidedTicketSchema, shardContentSchema, snapshotProofSchema} from '@marigoldfold/state';
import type {Methods, Peer} from '@marigoldfold/transport';
import type {Result} from 'neverthrow';
import {z} from 'zod';

/** Checks tickets that a peer passes on. */
export const pulledTicketsSchema = z.object({
  /** Whether the peer still keeps the tickets; a snapshot is needed when not. */
  areKept: z.boolean(),
  tickets: z.array(decidedTicketSchema),
});

/** Tickets that a peer passes on. */
export type PulledTickets = Readonly<z.infer<typeof pulledTicketsSchema>>;

const pageRequestSchema = z.object({
  /** Number that the snapshot is of; the newest when null. */
  number: z.number().nullable(),
  firstShard: z.number(),
});

/** Asks for a part of a snapshot. */
export type SnapshotRequest = Readonly<z.infer<typeof pageRequestSchema>>;

/** Checks a part of a snapshot. */
export const snapshotPageSchema = z.object({
  /** Absent when the peer has nothing in force, or no longer keeps the number. */
  proof: snapshotProofSchema.nullable(),
  /** Shards from the first one asked for; an empty list ends the snapshot. */
  shards: z.array(shardContentSchema),
});

/** A part of a snapshot. */
export type SnapshotPage = Readonly<z.infer<typeof snapshotPageSchema>>;

/** Asks for the tickets after a number. */
export const pullMethod = method('spread.pull', z.object({after: z.number()}), pulledTicketsSchema);

/** Asks for a part of a snapshot. */
export const snapshotMethod = method('spread.snapshot', pageRequestSchema, snapshotPageSchema);

/** A peer without an answer. */
export interface PeerError {
  readonly message: string;
}

/** What one process asks of another. */
export interface GossipPeer {
  exchange(summary: Summary): Promise<Result<Summary, PeerError>>;
  pull(after: number): Promise<Result<PulledTickets, PeerError>>;
  snapshot(request: SnapshotRequest): Promise<Result<SnapshotPage, PeerError>>;
  instances(from: string): Promise<Result<ListDelta, PeerError>>;
}

/** What a process answers its peers. */
export interface GossipService {
  exchange(summary: Summary): Summary;
  pull(after: number): PulledTickets;
  snapshot(request: SnapshotRequest): SnapshotPage;
  instances(from: string): ListDelta;
}

/** Finds the peer behind a listed instance. */
export type PeerOf = (instance: Instance) => GossipPeer;

/** A peer behind a control connection. */
export function createGossipPeer(peer: Peer): GossipPeer {
  return {
    exchange: (summary) => peer.call(exchangeMethod, summary),
    pull: (after) => peer.call(pullMethod, {after}),
    snapshot: (request) => peer.call(snapshotMethod, request),
    instances: (from) => peer.call(listMethod, {from}),
  };
}

/** Offers the service to peers. */
export function addGossipMethods(methods: Methods, service: GossipService): Methods {
  return methods
    .add(exchangeMethod, (summary) => service.exchange(summary))
    .add(pullMethod, ({after}) => service.pull(after))
    .add(snapshotMethod, (request) => service.snapshot(request))
    .add(listMethod, ({from}) => service.instances(from));
}
