/** Passes the updates of other instances on to what they concern. */
import type {
  EndpointPermits,
  PeerUpdate,
  Placement,
  PromptQuarantine,
} from '@marigoldfold/coordination';
import {contain, type DefectReporter, type Logger} from '@marigoldfold/runtime';
import type {ConfigurationHolder} from './configurationHolder.js';
import type {ForwardDuties} from './forwardDuties.js';

/** What updates are passed on to. */
export interface PeerUpdateTargets {
  readonly logger: Logger;
  readonly reportDefect: DefectReporter;
  readonly placement: Placement;
  readonly permits: EndpointPermits;
  readonly quarantine: PromptQuarantine;
  readonly configuration: ConfigurationHolder;
  /** Undefined where there are no duties. */
  readonly duties: () => ForwardDuties | undefined;
  /** Tells an instance of the highest version of the configuration. */
  readonly reportConfiguration: (peer: string) => void;
}

/** Applies an update; an exception ends only what is applied of it. */
export function applyPeerUpdate(targets: PeerUpdateTargets, update: PeerUpdate): void {
  const {from, unreachable, configuration, crashes} = update;
  const {logger, reportDefect, duties, quarantine} = targets;
  contain(
    () => {
      if (unreachable.length > 0) {
        const endpoints = unreachable.join(' ');
        logger.debug('endpoints reported unreachable', {belief: 'endpoint', from, endpoints});
      }
      targets.placement.applyPeerUpdate(update);
      targets.permits.receive(update);
      duties()?.receive(update);
      const isOutdated =
        configuration !== undefined && targets.configuration.recordReported(from, configuration);
      if (isOutdated) targets.reportConfiguration(from);
      for (const crash of crashes) quarantine.recordCrash(crash);
    },
    (error) => {
      reportDefect('peer_update', error, {from});
    },
  );
}
