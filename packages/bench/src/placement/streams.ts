/** Streams of a placement experiment; they depend only on the seed, so every placement policy gets the same. */
import type {PromptPart} from '@marigoldfold/coordination';
import type {Random} from '@marigoldfold/runtime';
import {generateArrivalTimesS, createRandomForPurpose} from '../arrivals.js';
import {sampleDistribution} from '../distribution.js';
import type {StreamKind, Workload} from './workload.js';

/** A stream requested by a caller. */
export interface StreamRequest {
  readonly id: string;
  readonly kind: StreamKind;
  /** Index of the forwarding instance that receives it. */
  readonly instance: number;
  readonly atMs: number;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
}

const MS_PER_SECOND = 1000;

/** All streams in order of arrival. */
export function createStreams(workload: Workload, seed: number): readonly StreamRequest[] {
  const streams = workload.kinds.flatMap((kind) => createStreamsOfKind(workload, kind, seed));
  return streams.sort((a, b) => a.atMs - b.atMs || (a.id < b.id ? -1 : 1));
}

function createStreamsOfKind(workload: Workload, kind: StreamKind, seed: number): StreamRequest[] {
  const random = createRandomForPurpose(seed, `streams of ${kind.name}`);
  const partsByLevel = kind.shared.map(({tokens, count}, level) =>
    Array.from({length: count}, (_, index) => ({
      id: `${kind.name}-${level}-${index}`,
      tokens: Math.ceil(sampleDistribution(tokens, random)),
    })),
  );
  const streams: StreamRequest[] = [];
  for (const atS of generateArrivalTimesS(kind.arrivals, workload.durationS, random)) {
    const id = `${kind.name}-${streams.length + 1}`;
    const parts = chooseParts(partsByLevel, random);
    parts.push({id: `own-${id}`, tokens: Math.ceil(sampleDistribution(kind.ownTokens, random))});
    streams.push({
      id,
      kind,
      instance: chooseIndex(workload.instanceShares, random),
      atMs: atS * MS_PER_SECOND,
      parts,
      promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
      outputTokens:
        Math.ceil(sampleDistribution(kind.events, random)) * workload.engines.tokensPerEvent,
    });
  }
  return streams;
}

/** Chooses one shared part per level; each part of the last level always follows the same preceding parts. */
function chooseParts(
  partsByLevel: readonly (readonly PromptPart[])[],
  random: Random,
): PromptPart[] {
  const last = partsByLevel.at(-1) ?? [];
  const index = Math.floor(random() * last.length);
  return partsByLevel.flatMap((levelParts) => levelParts[index % levelParts.length] ?? []);
}

function chooseIndex(shares: readonly number[], random: Random): number {
  let point = random() * shares.reduce((sum, share) => sum + share, 0);
  for (const [index, share] of shares.entries()) {
    point -= share;
    if (point < 0) return index;
  }
  return shares.length - 1;
}
