/** Dependencies of request handling in the forwarding router. */
import type {
  DispatchQueue,
  EndpointPermits,
  Placement,
  PromptQuarantine,
  WindowedRetryBudget,
} from '@marigoldfold/coordination';
import type {Clock, DefectReporter, EventLoopMonitor, Logger, Random} from '@marigoldfold/runtime';
import type {EndpointClient, MemoryBudget} from '@marigoldfold/transport';
import type {CrashDetector} from './crashDetector.js';
import type {ConfigurationState, ConfigurationAgeLimits} from './admission.js';
import type {MetadataCodec} from './metadataCodec.js';
import type {ForwardMetrics} from './forwardMetrics.js';
import type {Reachability} from './reachability.js';
import type {PlannedStop} from './plannedStop.js';

/** Dependencies that all requests of a process share. */
export interface ForwardOptions {
  /** Monotonic clock, in milliseconds. */
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly reportDefect: DefectReporter;
  readonly eventLoop: EventLoopMonitor;
  readonly codec: MetadataCodec;
  /** Queue in which every attempt waits until it may be sent. */
  readonly dispatch: DispatchQueue;
  readonly client: EndpointClient;
  readonly placement: Placement;
  readonly permits: Pick<EndpointPermits, 'acquire'>;
  readonly crashDetector: CrashDetector;
  readonly reachability: Reachability;
  readonly quarantine: PromptQuarantine;
  readonly retryBudget: WindowedRetryBudget;
  /** Memory that clients and endpoints make the process hold. */
  readonly memory: MemoryBudget;
  readonly plannedStop: PlannedStop;
  readonly metrics: ForwardMetrics;
  /** Counts a request of an account that has begun to run; undefined where nothing is counted. */
  readonly recordBegun: ((account: string) => void) | undefined;
  readonly configurationState: () => ConfigurationState;
  readonly configurationAgeLimits: () => ConfigurationAgeLimits;
}
