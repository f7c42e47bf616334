/** The endpoints that a request may go to, with the instances of their agents. */
import {type Failure, type Instance, refusal, type Tier} from '@marigoldfold/protocol';
import type {Configuration, EndpointSet, RequestClass} from '@marigoldfold/state';

/** What a request needs of its endpoint. */
export interface Demand {
  readonly requestClass: RequestClass;
  readonly tier: Tier;
  /** The model of a generation, or the service of a call. */
  readonly target: Target;
  /** Instances that were tried already. */
  readonly excluded: ReadonlySet<string>;
  /** Names the first block of the prompt; requests with the same block find it in one endpoint's cache. */
  readonly prefixKey?: string | undefined;
}

/** The model of a generation, or the service of a call. */
export type Target =
  | {readonly kind: 'model'; readonly model: string}
  | {readonly kind: 'service'; readonly service: string; readonly affinityKey?: string};

/** An endpoint with the instance of its agent. */
export interface Candidate {
  readonly instance: Instance;
  readonly endpoint: string;
  readonly setName: string;
  readonly set: EndpointSet;
}

/** The endpoints whose agents are listed as live. */
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

/** Whether two lists of candidates lead to the same choices. */
export function areSameCandidates(
  some: readonly Candidate[],
  others: readonly Candidate[],
): boolean {
  if (some.length !== others.length) return false;
  for (const [index, candidate] of some.entries()) {
    const other = others[index];
    if (other === undefined) return false;
    if (candidate.set !== other.set || candidate.endpoint !== other.endpoint) return false;
    if (candidate.instance === other.instance) continue;
    if (candidate.instance.name !== other.instance.name) return false;
    if (candidate.instance.address !== other.instance.address) return false;
    if (candidate.instance.failureDomain !== other.instance.failureDomain) return false;
  }
  return true;
}

/** Whether an endpoint serves what is asked for, and the class may use it. */
export function serves({set, setName}: Candidate, {target, requestClass}: Demand): boolean {
  if (!requestClass.endpointSets.includes(setName)) return false;
  if (target.kind === 'service') return set.service === target.service;
  return set.type === 'engine' && set.models.includes(target.model);
}

/** A text that is the same for requests which may use the same endpoints. */
export function demandKey({target, requestClass}: Demand): string {
  const name = target.kind === 'model' ? target.model : target.service;
  return `${target.kind}\n${name}\n${requestClass.endpointSets.join('\n')}`;
}

/** The refusal when no endpoint is configured or listed for a request. */
export function noEndpoint({target}: Demand): Failure {
  if (target.kind === 'model') {
    return refusal('unknown_model', `no endpoint serves model ${target.model} for this class`);
  }
  return refusal('unknown_service', `no endpoint serves ${target.service} for this class`);
}
