/** Reads the platform's list of live and leaving instances. */
import {type Instance, instanceSchema} from '@marigoldfold/protocol';
import type {HttpClient} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/** Reads the platform's list. */
export type InstanceSource = () => Promise<Result<readonly Instance[], string>>;

// The list comes in the format of Prometheus' HTTP service discovery: groups of targets with labels.
const targetGroupsSchema = z.array(
  z.object({targets: z.array(z.string()), labels: z.record(z.string(), z.string())}),
);

const FETCH_TIMEOUT_MS = 5000;
const HTTP_OK = 200;

/** Reads the list over HTTP. */
export function createInstanceSource(client: HttpClient, address: string): InstanceSource {
  return async () => {
    const request = {address, method: 'GET', path: '/instances', timeoutMs: FETCH_TIMEOUT_MS};
    const answer = await client.fetch(request);
    if (answer.isErr()) return err(answer.error.message);
    if (answer.value.status !== HTTP_OK) return err(`status ${answer.value.status}`);
    return parseTargetGroups(answer.value.body.toString());
  };
}

/** Reads instances from target groups; a group that lacks a label makes the whole list unreadable. */
export function parseTargetGroups(text: string): Result<readonly Instance[], string> {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch {
    return err('not JSON');
  }
  const groups = targetGroupsSchema.safeParse(document);
  if (!groups.success) return err(groups.error.message);
  const instances: Instance[] = [];
  for (const {targets, labels} of groups.data) {
    for (const address of targets) {
      const instance = instanceSchema.safeParse({
        name: labels.instance,
        role: labels.role,
        address,
        failureDomain: labels.failure_domain,
        region: labels.region,
        endpoint: labels.endpoint,
        state: labels.state,
      });
      if (!instance.success) return err(instance.error.message);
      instances.push(instance.data);
    }
  }
  return ok(instances);
}
