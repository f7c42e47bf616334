/** Reads and writes request metadata in headers with short names, for tests. */
import type {PromptSize} from '@marigoldfold/coordination';
import type {MetadataCodec} from '../metadataCodec.js';

/** Metadata codec with short header names, for tests. */
export const testCodec: MetadataCodec = {
  requestHeaders: ['x-id', 'x-deadline', 'x-key', 'x-parts'],
  responseHeaders: ['x-id', 'x-signed', 'x-not-executed', 'x-leaving', 'x-limit', 'retry-after'],
  decodeRequest: (headers) => ({
    id: headerText(headers['x-id']),
    deadlineMs: headers['x-deadline'] === undefined ? undefined : Number(headers['x-deadline']),
    key: headerText(headers['x-key']),
    prompt: parsePrompt(headerText(headers['x-parts'])),
  }),
  encodeRequest: (headers, metadata) => [
    ...headers,
    'x-endpoint',
    metadata.endpointId,
    'x-left',
    String(metadata.deadlineMs),
    'x-rank',
    String(metadata.rank),
    ...(metadata.accountName === undefined ? [] : ['x-account', metadata.accountName]),
    ...(metadata.lastEventId === undefined ? [] : ['last-event-id', metadata.lastEventId]),
  ],
  decodeResponse: (status, headers) => ({
    requestId: headerText(headers['x-id']),
    isSigned: headers['x-signed'] !== undefined,
    isNotExecuted: headers['x-not-executed'] !== undefined,
    load: undefined,
    isLeaving: headers['x-leaving'] !== undefined,
    pauseMs:
      status === 503 && headers['retry-after'] !== undefined
        ? Number(headers['retry-after']) * 1000
        : undefined,
    limitPerSecond: headers['x-limit'] === undefined ? undefined : Number(headers['x-limit']),
  }),
};

function headerText(header: string | string[] | undefined): string | undefined {
  return typeof header === 'string' ? header : undefined;
}

/** Reads the parts of a prompt, separated by commas. */
function parsePrompt(header: string | undefined): PromptSize | undefined {
  if (header === undefined) return undefined;
  const parts = header.split(',').map((id) => ({id, tokens: 10}));
  return {parts, promptTokens: 10 * parts.length, maxOutputTokens: 5};
}
