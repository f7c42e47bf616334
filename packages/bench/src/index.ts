/** Experiments, simulations and measurements of the bench. */
export {type RequestArrival, createArrivals, createRandomForPurpose} from './arrivals.js';
export {
  type Experiment,
  type ExperimentClass,
  experimentSchema,
  parseExperiment,
} from './experiment.js';
export type {ExpectationResult} from './expectations.js';
export type {InvariantViolation} from './invariants.js';
export type {ClassResult, PolicyResult, Quantiles} from './measures.js';
export {type Policy, type PolicyName, findPolicy, policyNames} from './policies.js';
export {formatOutcome} from './report.js';
export {
  type ExperimentOptions,
  type ExperimentOutcome,
  type ExperimentResult,
  runExperiment,
} from './runExperiment.js';
export {simulate, type SimulationOptions, type SimulationOutcome} from './simulation.js';
export {measureConfiguration, type ConfigurationFigures} from './spread/measureConfiguration.js';
export {type FleetFigures, type FleetMeasurement, measureFleet} from './spread/measureFleet.js';
export {
  type ExtrapolatedFigure,
  type GossipReport,
  createGossipReport,
} from './spread/gossipReport.js';
export {formatCapacityTables, fillTables} from './capacity/capacityTables.js';
export {type SlopeReport, fitSlope} from './slopes/slope.js';
