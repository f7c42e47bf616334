/** Checks whether a response is an endpoint's answer to the request that was sent. */
import type {ResponseHead} from '@marigoldfold/transport';
import type {ResponseMetadata} from './metadataCodec.js';

const NO_CONTENT = 204;
/** Statuses from which a client concludes that its request was not executed. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Statuses with which an endpoint reports that a request failed or did not end in time. */
const endpointFailures: ReadonlySet<number> = new Set([500, 504]);
const SUCCESS_STATUS_CLASS = 2;

/** Whether a status reports a success (2xx). */
export function isSuccessStatus(status: number): boolean {
  return Math.floor(status / 100) === SUCCESS_STATUS_CLASS;
}

/** Whether a response states that it has no body; one that merely ends has been cut off. */
export function isEmptyByDeclaration({status, headers}: ResponseHead): boolean {
  return status === NO_CONTENT || headers['content-length'] === '0';
}

/** Whether a response is certainly an endpoint's own; its failures may lack the request's ID and the signature. */
export function isEndpointsOwn(status: number, metadata: ResponseMetadata, id: string): boolean {
  return metadata.isSigned || metadata.requestId === id || endpointFailures.has(status);
}

/** Reason not to accept a response, or undefined when it is valid. */
export function findResponseFault(
  status: number,
  metadata: ResponseMetadata,
  id: string,
): string | undefined {
  if (metadata.requestId !== undefined && metadata.requestId !== id)
    return 'the response belongs to another request';
  // A refusal without an ID may be a repetition of one to an earlier request on the connection.
  if (metadata.isNotExecuted)
    return metadata.requestId === undefined ? 'the refusal names no request' : undefined;
  if (isSuccessStatus(status) && !metadata.isSigned) return 'the response is not signed';
  // From this status, the client would conclude that the request was not executed, which the endpoint did not state.
  if (notExecutedStatuses.has(status))
    return `status ${status} without the statement that the request was not executed`;
  return undefined;
}
