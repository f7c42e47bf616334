/** What a process answers its peers about the configuration and the instances. */
import {type ShardContent, shardCount} from '@marigoldfold/state';
import type {ConfigurationFeed} from '../configurationFeed.js';
import type {InstanceFeed} from '../instanceFeed.js';
import type {PulledTickets, SnapshotPage, SnapshotRequest} from './peer.js';
import {maxMessageBytes} from './timing.js';

/** The tickets after a number that this process keeps. */
export function answerPull(feed: ConfigurationFeed, after: number): PulledTickets {
  const tickets = feed.ticketsAfter(after, maxMessageBytes);
  return {areKept: tickets !== undefined, tickets: [...(tickets ?? [])]};
}

/** A part of the snapshot of a recent head. */
export function answerSnapshot(
  feed: ConfigurationFeed,
  {number, firstShard}: SnapshotRequest,
): SnapshotPage {
  const proven = feed.provenHead(number ?? undefined);
  if (proven === undefined) return {proof: null, shards: []};
  const shards: ShardContent[] = [];
  let bytes = 0;
  for (let index = firstShard; index < shardCount; index += 1) {
    const shard = proven.head.configuration.shard(index);
    bytes += JSON.stringify(shard).length;
    if (shards.length > 0 && bytes > maxMessageBytes) break;
    shards.push(shard);
  }
  return {proof: proven.proof, shards};
}

/** What a process tells about itself. */
export function summarize(sender: string, feed: ConfigurationFeed, instances: InstanceFeed) {
  return {
    sender,
    number: feed.head.number,
    ageMs: feed.confirmationAgeMs ?? null,
    listDigest: instances.digest,
    listAgeMs: instances.ageMs ?? null,
  };
}
