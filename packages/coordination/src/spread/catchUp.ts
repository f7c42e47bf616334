/** Brings the configuration up to date by requesting missing tickets or a snapshot from a peer. */
import type {ShardContent, SnapshotProof} from '@marigoldfold/state';
import {shardCount} from '@marigoldfold/state';
import {err, ok, type Result} from 'neverthrow';
import type {ConfigurationFeed} from '../configurationFeed.js';
import type {GossipPeer} from './peer.js';

/** Reason why a process could not catch up with a peer. */
export interface CatchUpError {
  /** `unreachable` is temporary; `untrustworthy` means that the peer sent invalid data. */
  readonly code: 'unreachable' | 'untrustworthy';
  readonly message: string;
}

/** Requests tickets or a snapshot from the peer until ticket `number` is in force at this process. */
export async function catchUp(
  feed: ConfigurationFeed,
  peer: GossipPeer,
  number: number,
): Promise<Result<void, CatchUpError>> {
  while (feed.head.number < number) {
    const before = feed.head.number;
    const pulled = await peer.pull(before);
    if (pulled.isErr()) return err({code: 'unreachable', message: pulled.error.message});
    if (!pulled.value.areKept) {
      const installed = await fetchSnapshot(feed, peer);
      if (installed.isErr()) return installed;
    } else {
      const accepted = feed.acceptAll(pulled.value.tickets);
      if (accepted.isErr()) return err({code: 'untrustworthy', message: accepted.error.message});
    }
    if (feed.head.number === before) {
      return err({code: 'untrustworthy', message: `peer did not return ticket ${before + 1}`});
    }
  }
  return ok(undefined);
}

async function fetchSnapshot(
  feed: ConfigurationFeed,
  peer: GossipPeer,
): Promise<Result<void, CatchUpError>> {
  const shards: ShardContent[] = [];
  let proof: SnapshotProof | undefined;
  while (shards.length < shardCount) {
    const number = proof?.last.ticket.number ?? null;
    const page = await peer.snapshot({number, firstShard: shards.length});
    if (page.isErr()) return err({code: 'unreachable', message: page.error.message});
    if (page.value.proof === null || page.value.shards.length === 0) {
      return err({code: 'unreachable', message: 'peer no longer retains the snapshot'});
    }
    proof ??= page.value.proof;
    shards.push(...page.value.shards);
  }
  if (proof === undefined) return err({code: 'unreachable', message: 'peer has no snapshot'});
  const installed = feed.installSnapshot({proof, shards});
  return installed.mapErr((message) => ({code: 'untrustworthy', message}));
}
