/** Control methods and message schemas of gossip between peers. */
import {
  gossipExchangeMethod,
  type Instance,
  type InstanceListDelta,
  instanceListMethod,
  defineMethod,
  type StateSummary,
} from '@marigoldfold/protocol';
import {decidedTicketSchema, shardContentSchema, snapshotProofSchema} from '@marigoldfold/state';
import type {RpcMethods, Peer} from '@marigoldfold/transport';
import type {Result} from 'neverthrow';
import {z} from 'zod';

/** Schema of the response to a pull. */
export const pulledTicketsSchema = z.object({
  /** Whether the peer still retains the tickets; if not, the caller must request a snapshot. */
  areKept: z.boolean(),
  tickets: z.array(decidedTicketSchema),
});

/** Response to a pull, with tickets in order. */
export type PulledTickets = Readonly<z.infer<typeof pulledTicketsSchema>>;

const pageRequestSchema = z.object({
  /** Ticket number of the snapshot; null for the newest. */
  number: z.number().nullable(),
  firstShard: z.number(),
});

/** Request for a page of a snapshot. */
export type SnapshotRequest = Readonly<z.infer<typeof pageRequestSchema>>;

/** Schema of a page of a snapshot. */
export const snapshotPageSchema = z.object({
  /** Proof of the snapshot; null if the peer has no configuration or no longer retains the ticket number. */
  proof: snapshotProofSchema.nullable(),
  /** Shards starting with the requested one; empty if `proof` is null. */
  shards: z.array(shardContentSchema),
});

/** A page of a snapshot, of at most about `maxMessageBytes`. */
export type SnapshotPage = Readonly<z.infer<typeof snapshotPageSchema>>;

/** Control method that returns the tickets after a ticket number, in order. */
export const pullMethod = defineMethod(
  'spread.pull',
  z.object({after: z.number()}),
  pulledTicketsSchema,
);

/** Control method that returns the shards of a snapshot from a given one on, page by page. */
export const snapshotMethod = defineMethod(
  'spread.snapshot',
  pageRequestSchema,
  snapshotPageSchema,
);

/** Failure of a call to a peer, with a message for the log. */
export interface PeerError {
  readonly message: string;
}

/** Client for the gossip methods of one peer. */
export interface GossipPeer {
  exchange(summary: StateSummary): Promise<Result<StateSummary, PeerError>>;
  pull(after: number): Promise<Result<PulledTickets, PeerError>>;
  snapshot(request: SnapshotRequest): Promise<Result<SnapshotPage, PeerError>>;
  instances(from: string): Promise<Result<InstanceListDelta, PeerError>>;
}

/** Handlers of the gossip methods that peers call. */
export interface GossipService {
  exchange(summary: StateSummary): StateSummary;
  pull(after: number): PulledTickets;
  snapshot(request: SnapshotRequest): SnapshotPage;
  instances(from: string): InstanceListDelta;
}

/** Returns the gossip client of a listed instance. */
export type PeerOf = (instance: Instance) => GossipPeer;

/** Creates a gossip client over a control connection. */
export function createGossipPeer(peer: Peer): GossipPeer {
  return {
    exchange: (summary) => peer.call(gossipExchangeMethod, summary),
    pull: (after) => peer.call(pullMethod, {after}),
    snapshot: (request) => peer.call(snapshotMethod, request),
    instances: (from) => peer.call(instanceListMethod, {from}),
  };
}

/** Registers the methods of a gossip service. */
export function addGossipMethods(methods: RpcMethods, service: GossipService): RpcMethods {
  return methods
    .add(gossipExchangeMethod, (summary) => service.exchange(summary))
    .add(pullMethod, ({after}) => service.pull(after))
    .add(snapshotMethod, (request) => service.snapshot(request))
    .add(instanceListMethod, ({from}) => service.instances(from));
}
