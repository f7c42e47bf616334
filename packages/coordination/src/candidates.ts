/** Endpoints that a request may be dispatched to, with the instances of their agents. */
import {type Failure, type Instance, refusal, type Tier} from '@marigoldfold/protocol';
import type {Configuration, EndpointSet, RequestClass} from '@marigoldfold/state';

/** Properties of a request that determine which endpoints it may use. */
export interface EndpointCriteria {
  readonly requestClass: RequestClass;
  readonly tier: Tier;
  readonly target: RoutingTarget;
  /** Names of instances that were already tried for this request and must not be selected again. */
  readonly excluded: ReadonlySet<string>;
  /** Digest of the first block of the prompt; requests with equal keys share an endpoint's prefix cache. */
  readonly prefixKey?: string | undefined;
}

/** What a request addresses: a model for a generation, or a service for a plain call. */
export type RoutingTarget =
  | {readonly kind: 'model'; readonly model: string}
  | {readonly kind: 'service'; readonly service: string; readonly affinityKey?: string};

/** An endpoint with its set and the instance of its agent. */
export interface Candidate {
  readonly instance: Instance;
  readonly endpoint: string;
  readonly setName: string;
  readonly set: EndpointSet;
}

/** Lists the configured endpoints whose agents are live. */
export function listCandidates(
  configuration: Configuration,
  instances: readonly Instance[],
): readonly Candidate[] {
  const endpoints = configuration.all('endpoint');
  const sets = configuration.all('endpointSet');
  const candidates: Candidate[] = [];
  for (const instance of instances) {
    if (instance.role !== 'agent' || instance.state === 'leaving') continue;
    const endpoint = endpoints.get(instance.endpoint ?? '');
    if (endpoint === undefined || instance.endpoint === undefined) continue;
    const set = sets.get(endpoint.set);
    if (set === undefined) continue;
    candidates.push({instance, endpoint: instance.endpoint, setName: endpoint.set, set});
  }
  return candidates;
}

/** Whether two lists are equal in all fields that endpoint selection uses. */
export function areSameCandidates(
  left: readonly Candidate[],
  right: readonly Candidate[],
): boolean {
  if (left.length !== right.length) return false;
  for (const [index, candidate] of left.entries()) {
    const other = right[index];
    if (other === undefined) return false;
    if (candidate.set !== other.set || candidate.endpoint !== other.endpoint) return false;
    if (candidate.instance === other.instance) continue;
    if (candidate.instance.name !== other.instance.name) return false;
    if (candidate.instance.address !== other.instance.address) return false;
    if (candidate.instance.failureDomain !== other.instance.failureDomain) return false;
  }
  return true;
}

/** Whether an endpoint serves the target and the class of the request may use it. */
export function matchesEndpointCriteria(
  {set, setName}: Candidate,
  {target, requestClass}: EndpointCriteria,
): boolean {
  if (!requestClass.endpointSets.includes(setName)) return false;
  if (target.kind === 'service') return set.service === target.service;
  return set.type === 'engine' && set.models.includes(target.model);
}

/** Cache key that is equal for requests with the same target and the same endpoint sets. */
export function criteriaKey({target, requestClass}: EndpointCriteria): string {
  const name = target.kind === 'model' ? target.model : target.service;
  return `${target.kind}\n${name}\n${requestClass.endpointSets.join('\n')}`;
}

/** Refusal `unknown_model` or `unknown_service` for a target that no listed endpoint serves. */
export function createNoEndpointFailure({target}: EndpointCriteria): Failure {
  if (target.kind === 'model') {
    return refusal('unknown_model', `no endpoint serves model ${target.model} for this class`);
  }
  return refusal('unknown_service', `no endpoint serves ${target.service} for this class`);
}
