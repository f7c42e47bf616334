/** Runs placement experiments on a virtual clock. */
import {VirtualClock} from '@marigoldfold/runtime';
import {PlacementFleet} from './placementFleet.js';
import {PlacementMeasures, type PlacementResult} from './placementMeasures.js';
import {createStreams} from './streams.js';
import type {Workload} from './workload.js';

const MS_PER_SECOND = 1000;
/** Streams that have not ended within this time after the last arrival are counted as lost. */
const DRAIN_MS = 60_000;

/** Runs all streams of a seed and returns the measures. */
export function runPlacement(workload: Workload, seed: number): PlacementResult {
  const clock = new VirtualClock();
  const measures = new PlacementMeasures(workload);
  const fleet = new PlacementFleet({clock, workload, seed, measures});
  for (const stream of createStreams(workload, seed)) {
    clock.schedule(stream.atMs, () => {
      fleet.accept(stream);
    });
  }
  const limitMs = workload.durationS * MS_PER_SECOND + DRAIN_MS;
  while (clock.step(limitMs));
  return measures.result();
}
