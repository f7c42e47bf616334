/** Responses to gossip calls of peers. */
import {type ShardContent, shardCount} from '@marigoldfold/state';
import type {ConfigurationFeed} from '../configurationFeed.js';
import type {InstanceFeed} from '../instanceFeed.js';
import type {PulledTickets, SnapshotPage, SnapshotRequest} from './peer.js';
import {maxMessageBytes} from './timing.js';

/** Returns the retained tickets after a number, up to `maxMessageBytes`. */
export function answerPull(feed: ConfigurationFeed, after: number): PulledTickets {
  const tickets = feed.ticketsAfter(after, maxMessageBytes);
  return {areKept: tickets !== undefined, tickets: [...(tickets ?? [])]};
}

/** Returns a page of the snapshot of a recent head; empty when the head is not retained. */
export function answerSnapshot(
  feed: ConfigurationFeed,
  {number, firstShard}: SnapshotRequest,
): SnapshotPage {
  const provenHead = feed.provenHead(number ?? undefined);
  if (provenHead === undefined) return {proof: null, shards: []};
  const shards: ShardContent[] = [];
  let bytes = 0;
  for (let index = firstShard; index < shardCount; index += 1) {
    const shard = provenHead.head.configuration.shard(index);
    bytes += JSON.stringify(shard).length;
    if (shards.length > 0 && bytes > maxMessageBytes) break;
    shards.push(shard);
  }
  return {proof: provenHead.proof, shards};
}

/** Summary of this process: head, digest of the list of instances, and the ages of both. */
export function summarizeState(sender: string, feed: ConfigurationFeed, instances: InstanceFeed) {
  return {
    sender,
    number: feed.head.number,
    ageMs: feed.confirmationAgeMs ?? null,
    listDigest: instances.digest,
    listAgeMs: instances.ageMs ?? null,
  };
}
