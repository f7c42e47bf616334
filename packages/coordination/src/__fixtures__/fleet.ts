/** Instances, configurations and load reports for tests. */
import type {Instance, Load} from '@marigoldfold/protocol';
import {Configuration, objectSchemas, type RequestClass} from '@marigoldfold/state';
import type {EndpointCriteria} from '../candidates.js';

/** An agent instance with the endpoint of the same number. */
export function agent(index: number, overrides: Partial<Instance> = {}): Instance {
  return {
    name: `agent-${index}`,
    role: 'agent',
    address: `10.0.0.${index}:9000`,
    failureDomain: 'north',
    region: 'lombardy',
    endpoint: `engine-${index}`,
    state: 'live',
    ...overrides,
  };
}

/** Agent instances numbered from 1. */
export function agents(
  count: number,
  overridesOf: (index: number) => Partial<Instance> = () => ({}),
) {
  return Array.from({length: count}, (_, index) => agent(index + 1, overridesOf(index + 1)));
}

/** Configuration with one set of engines that serves the model `reader`. */
export function createEngineConfiguration(count: number, slots = 4): Configuration {
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

/** Request class with the given tier, and optionally a target for the time to first token in milliseconds. */
export function requestClass(tier: number, firstTokenMs?: number): RequestClass {
  const targets = firstTokenMs === undefined ? {} : {firstTokenMs};
  return objectSchemas.class.parse({tier, endpointSets: ['engines'], ...targets});
}

/** Selection criteria of a generation request with the given tier. */
export function criteria(
  tier: number,
  overrides: Partial<EndpointCriteria> = {},
): EndpointCriteria {
  return {
    requestClass: requestClass(tier),
    tier,
    target: {kind: 'model', model: 'reader'},
    excluded: new Set(),
    ...overrides,
  };
}

/** Load report of an idle endpoint with four slots. */
export function load(overrides: Partial<Load> = {}): Load {
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
    ...overrides,
  };
}
