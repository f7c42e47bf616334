/** Reads the platform's list of live and leaving instances. */
import {type Instance, instanceSchema} from '@marigoldfold/protocol';
import type {HttpClient} from '@marigoldfold/transport';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/** Fetches the list once; the error is a message to be logged. */
export type InstanceSource = () => Promise<Result<readonly Instance[], string>>;

// The list has the format of Prometheus' HTTP service discovery: groups of targets with labels.
const targetGroupsSchema = z.array(
  z.object({targets: z.array(z.string()), labels: z.record(z.string(), z.string())}),
);

const FETCH_TIMEOUT_MS = 5000;
const HTTP_OK = 200;

/** Creates a source that reads `/instances` from a `host:port` address over HTTP. */
export function createInstanceSource(client: HttpClient, address: string): InstanceSource {
  return async () => {
    const request = {address, method: 'GET', path: '/instances', timeoutMs: FETCH_TIMEOUT_MS};
    const response = await client.fetch(request);
    if (response.isErr()) return err(response.error.message);
    if (response.value.status !== HTTP_OK)
      return err(`unexpected HTTP status ${response.value.status}`);
    return parseTargetGroups(response.value.body.toString());
  };
}

/** Parses instances from target groups; one group without a required label fails the whole list. */
export function parseTargetGroups(text: string): Result<readonly Instance[], string> {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch {
    return err('response is not JSON');
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
