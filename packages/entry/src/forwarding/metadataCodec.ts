/** How requests and answers carry what the router needs; each installation brings its own names. */
import type {IncomingHttpHeaders} from 'node:http';
import type {LoadReport, PromptSize} from '@marigoldfold/coordination';

/** What a client says beside its request. */
export interface RequestMetadata {
  readonly id: string | undefined;
  /** Milliseconds that the client will wait. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly prompt: PromptSize | undefined;
}

/** What the router tells an endpoint beside a request. */
export interface AttemptMetadata {
  /** Milliseconds after which the endpoint is to stop. */
  readonly deadlineMs: number;
  /** Any other endpoint at the address refuses the request. */
  readonly endpointId: string;
  readonly accountName: string | undefined;
  /** Rank at the endpoint's own queue, 0 is first. */
  readonly rank: number;
  /** The last event that the client has; the stream goes on after it. */
  readonly lastEventId: string | undefined;
}

/** What an endpoint tells beside an answer. */
export interface ResponseMetadata {
  /** The request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the answer bears an endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint says that it did not run the request. */
  readonly isNotExecuted: boolean;
  readonly load: LoadReport | undefined;
}

/** Reads and writes the headers of one installation. */
export interface MetadataCodec {
  decodeRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Takes the client's end-to-end headers, names and values by turns, and returns the endpoint's. */
  encodeRequest(headers: readonly string[], facts: AttemptMetadata): string[];
  decodeResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
}
