/** Instances, configurations and load reports for tests. */
import type {Instance, Load} from '@marigoldfold/protocol';
import {Configuration, objectSchemas, type RequestClass} from '@marigoldfold/state';
import type {Demand} from '../candidates.js';

/** An agent beside an endpoint of the same number. */
export function agent(index: number, place: Partial<Instance> = {}): Instance {
  return {
    name: `agent-${index}`,
    role: 'agent',
    address: `10.0.0.${index}:9000`,
    failureDomain: 'north',
    region: 'lombardy',
    endpoint: `engine-${index}`,
    state: 'live',
    ...place,
  };
}

/** Agents numbered from 1. */
export function agents(count: number, placeOf: (index: number) => Partial<Instance> = () => ({})) {
  return Array.from({length: count}, (_, index) => agent(index + 1, placeOf(index + 1)));
}

/** One set of engines that serves the model `reader`. */
export function engineConfiguration(count: number, slots = 4): Configuration {
  const changes = [
    {
      kind: 'endpointSet' as const,
      name: 'engines',
      state: {type: 'engine', models: ['reader'], slots},
    },
    ...Array.from({length: count}, (_, index) => ({
      kind: 'endpoint' as const,
      name: `engine-${index + 1}`,
      state: {set: 'engines'},
    })),
  ];
  return Configuration.empty.apply(changes, 1);
}

/** A class of a tier with a target for the first token. */
export function requestClass(tier: number, firstTokenMs?: number): RequestClass {
  const targets = firstTokenMs === undefined ? {} : {firstTokenMs};
  return objectSchemas.class.parse({tier, endpointSets: ['engines'], ...targets});
}

/** A generation of a tier. */
export function demand(tier: number, more: Partial<Demand> = {}): Demand {
  return {
    requestClass: requestClass(tier),
    tier,
    target: {kind: 'model', model: 'reader'},
    excluded: new Set(),
    ...more,
  };
}

/** A report of an idle endpoint with four slots. */
export function load(more: Partial<Load> = {}): Load {
  return {
    incarnation: 'a-1',
    configuration: 1,
    running: [],
    queued: [],
    waitMs: [],
    window: 4,
    interTokenMs: 0,
    firstTokenMs: 0,
    isLeaving: false,
    ...more,
  };
}
