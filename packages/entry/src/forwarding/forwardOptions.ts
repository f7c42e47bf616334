/** What forwarding needs from the process around it. */
import type {DispatchQueue, Placement, WindowedRetryBudget} from '@marigoldfold/coordination';
import type {Clock, EventLoop, Logger} from '@marigoldfold/runtime';
import type {EndpointClient} from '@marigoldfold/transport';
import type {ConfigurationState, ConfigurationAgeLimits} from './admission.js';
import type {MetadataCodec} from './metadataCodec.js';
import type {ForwardMetrics} from './forwardMetrics.js';

/** What forwarding needs. */
export interface ForwardOptions {
  /** A steady clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly eventLoop: EventLoop;
  readonly codec: MetadataCodec;
  /** Every send waits there for its turn. */
  readonly dispatch: DispatchQueue;
  readonly client: EndpointClient;
  readonly placement: Placement;
  readonly budget: WindowedRetryBudget;
  readonly metrics: ForwardMetrics;
  readonly configurationState: () => ConfigurationState;
  readonly configurationAgeLimits: () => ConfigurationAgeLimits;
}
