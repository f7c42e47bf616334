/** Routing metadata of requests and responses; each installation has its own header names. */
import type {IncomingHttpHeaders} from 'node:http';
import type {LoadReport, PromptSize} from '@marigoldfold/coordination';

/** Metadata that a client sends with a request. */
export interface RequestMetadata {
  readonly id: string | undefined;
  /** Milliseconds that the client waits for a response. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly prompt: PromptSize | undefined;
}

/** Metadata that the router sends to an endpoint with a request. */
export interface AttemptMetadata {
  /** Milliseconds after which the endpoint stops working on the request. */
  readonly deadlineMs: number;
  /** Intended endpoint; a different one at the same address refuses the request. */
  readonly endpointId: string;
  readonly accountName: string | undefined;
  /** Rank in the endpoint's queue; 0 is the most urgent. */
  readonly rank: number;
  /** ID of the last event that the client received; the stream resumes after it. */
  readonly lastEventId: string | undefined;
}

/** Metadata that an endpoint sends with a response. */
export interface ResponseMetadata {
  /** ID of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** Whether the response has an endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint reports that it did not execute the request. */
  readonly isNotExecuted: boolean;
  readonly load: LoadReport | undefined;
  /** Whether the endpoint states that it is leaving. */
  readonly isLeaving: boolean;
  /** Milliseconds for which a refusing endpoint wants no further request of this instance. */
  readonly pauseMs: number | undefined;
  /** Requests per second that the endpoint takes from all instances together; undefined if it states no limit. */
  readonly limitPerSecond: number | undefined;
}

/** Reads and writes the metadata headers of an installation. */
export interface MetadataCodec {
  /** Names in lower case of the headers that are read of requests and of responses. */
  readonly requestHeaders: readonly string[];
  readonly responseHeaders: readonly string[];
  decodeRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Turns a client's end-to-end headers into those for the endpoint; both alternate names and values. */
  encodeRequest(headers: readonly string[], metadata: AttemptMetadata): string[];
  decodeResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
}
