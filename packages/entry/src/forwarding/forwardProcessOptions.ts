/** Dependencies and settings of a router process. */
import type {Clock, Logger, Random} from '@marigoldfold/runtime';
import type {ForwardDutyOptions} from './forwardDuties.js';
import type {ProcessLimits} from './forwardMemory.js';
import type {ForwardBounds, ForwardSource} from './forwardSource.js';
import type {MetadataCodec} from './metadataCodec.js';

/** Dependencies, addresses and bounds of a router process. */
export interface ForwardProcessOptions {
  /** Monotonic clock, in milliseconds. */
  readonly clock: Clock;
  /** Wall clock time, in milliseconds, by which a suspension of the machine is detected. */
  readonly wallTimeMs: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly codec: MetadataCodec;
  readonly source: ForwardSource;
  readonly name: string;
  /** `host:port` for reports from other instances. */
  readonly peerAddress: string;
  /** `host:port` for clients. */
  readonly clientAddress: string;
  /** `host:port` for readiness checks. */
  readonly readyAddress: string;
  readonly readyPath: string;
  /** `host:port` for metrics. */
  readonly metricsAddress: string;
  readonly metricsPath: string;
  readonly bounds: ForwardBounds;
  readonly processLimits: ProcessLimits;
  /** Whether endpoints that have started or recovered get work by a pace; false by default. */
  readonly pacesEndpoints?: boolean;
  /** Duties that one instance at a time carries out; without them, nothing of them runs. */
  readonly duties?: ForwardDutyOptions;
}
