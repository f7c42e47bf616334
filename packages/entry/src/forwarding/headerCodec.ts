/** Metadata codec that uses the header names of an installation. */
import type {IncomingHttpHeaders} from 'node:http';
import {
  boundId,
  type LoadReport,
  type PromptPart,
  type PromptSize,
} from '@marigoldfold/coordination';
import {isCount, MAX_DURATION_MS} from '@marigoldfold/state';
import type {
  ResponseMetadata,
  MetadataCodec,
  RequestMetadata,
  AttemptMetadata,
} from './metadataCodec.js';

/** Header names in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  /** Header with the milliseconds until the deadline. */
  readonly deadline: string;
  readonly key: string;
  /** Header with the numbers of prompt tokens and maximum output tokens, separated by a comma. */
  readonly promptTokens: string;
  /** Header with the parts of the prompt as ID:TOKENS, separated by commas. */
  readonly promptParts: string;
  readonly account: string;
  readonly endpointId: string;
  readonly rank: string;
  readonly lastEventId: string;
  readonly signature: string;
  readonly notExecuted: string;
  /** Header with running and waiting requests, slots, and slowness in hundredths, separated by commas. */
  readonly load: string;
  /** Header in all responses of an endpoint that is leaving. */
  readonly leaving: string;
  /** Header with the requests per second, a decimal number, that an endpoint takes from all instances together. */
  readonly limit: string;
}

const PAUSE_HEADER = 'retry-after';
const MISDIRECTED = 421;
const UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;
/** Slowness in the load header that means normal speed; higher values are slower. */
const SLOWNESS_UNIT = 100;

/** Largest number of parts of a prompt that are told apart. */
const MAX_PROMPT_PARTS = 256;
/** Length from which V8 makes a part of a text refer to the whole. */
const MIN_SLICE_LENGTH = 13;

/** Creates a codec; headers that only the system may set are removed from clients' requests. */
export function createHeaderCodec(
  names: HeaderNames,
  additionalReservedHeaders: readonly string[] = [],
): MetadataCodec {
  const {requestId, deadline, key, promptTokens, promptParts, account, endpointId, rank} = names;
  const {signature, notExecuted, load, leaving, limit} = names;
  const reservedHeaders = new Set([
    deadline,
    key,
    account,
    endpointId,
    rank,
    ...additionalReservedHeaders,
  ]);
  return {
    requestHeaders: [requestId, deadline, key, promptTokens, promptParts],
    responseHeaders: [requestId, signature, notExecuted, load, leaving, limit, PAUSE_HEADER],
    decodeRequest: (headers) => decodeRequest(names, headers),
    encodeRequest: (headers, metadata) => encodeRequest(names, reservedHeaders, headers, metadata),
    decodeResponse: (status, headers) => decodeResponse(names, status, headers),
  };
}

function decodeRequest(names: HeaderNames, headers: IncomingHttpHeaders): RequestMetadata {
  return {
    id: headerText(headers[names.requestId]),
    deadlineMs: parseDeadlineMs(headerText(headers[names.deadline])),
    key: headerText(headers[names.key]),
    prompt: parsePrompt(names, headers),
  };
}

function encodeRequest(
  names: HeaderNames,
  reservedHeaders: ReadonlySet<string>,
  headers: readonly string[],
  metadata: AttemptMetadata,
): string[] {
  const written: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    const lower = name.toLowerCase();
    if (reservedHeaders.has(lower)) continue;
    if (lower === names.lastEventId && metadata.lastEventId !== undefined) continue;
    written.push(name, headers[index + 1] ?? '');
  }
  written.push(names.deadline, String(metadata.deadlineMs));
  written.push(names.endpointId, metadata.endpointId);
  written.push(names.rank, String(metadata.rank));
  if (metadata.accountName !== undefined) written.push(names.account, metadata.accountName);
  if (metadata.lastEventId !== undefined) written.push(names.lastEventId, metadata.lastEventId);
  return written;
}

function decodeResponse(
  names: HeaderNames,
  status: number,
  headers: IncomingHttpHeaders,
): ResponseMetadata {
  return {
    requestId: headerText(headers[names.requestId]),
    isSigned: headers[names.signature] !== undefined,
    // A 421 comes from another endpoint at the same address, which did not execute the request.
    isNotExecuted: headers[names.notExecuted] !== undefined || status === MISDIRECTED,
    load: parseLoad(headerText(headers[names.load])),
    isLeaving: isSet(headerText(headers[names.leaving])),
    pauseMs: status === UNAVAILABLE ? parsePauseMs(headerText(headers[PAUSE_HEADER])) : undefined,
    limitPerSecond: parseDecimal(headerText(headers[names.limit])),
  };
}

function isSet(flag: string | undefined): boolean {
  return flag !== undefined && flag !== '0';
}

/** Milliseconds of a `retry-after` header in seconds, which may have fractions. */
function parsePauseMs(header: string | undefined): number | undefined {
  const pauseMs = (parseDecimal(header) ?? Number.NaN) * MS_PER_SECOND;
  return pauseMs <= MAX_DURATION_MS ? pauseMs : undefined;
}

function parseDecimal(header: string | undefined): number | undefined {
  const value = Number(header?.trim() === '' ? undefined : header);
  return isCount(value) ? value : undefined;
}

function parsePrompt(names: HeaderNames, headers: IncomingHttpHeaders): PromptSize | undefined {
  const usage = headerText(headers[names.promptTokens]);
  if (usage === undefined) return undefined;
  const [promptTokens, maxOutputTokens] = usage.split(',').map(Number);
  if (!isCount(promptTokens) || !isCount(maxOutputTokens)) return undefined;
  return {
    promptTokens,
    maxOutputTokens,
    parts: parsePromptParts(headerText(headers[names.promptParts])),
  };
}

/** The parts of a prompt; those beyond the largest number are one with the last, which belongs to the request itself. */
function parsePromptParts(header: string | undefined): readonly PromptPart[] {
  const parts: PromptPart[] = [];
  if (header === undefined) return parts;
  for (const part of header.split(',')) {
    const [id, tokens] = part.trim().split(':');
    const count = Number(tokens);
    if (id === undefined || id === '' || !isCount(count)) return [];
    const last = parts.length < MAX_PROMPT_PARTS ? undefined : parts.pop();
    parts.push({id: copyText(boundId(id)), tokens: count + (last?.tokens ?? 0)});
  }
  return parts;
}

/** A copy that does not keep the header in memory from which a text was taken. */
function copyText(text: string): string {
  return text.length < MIN_SLICE_LENGTH ? text : Buffer.from(text, 'latin1').toString('latin1');
}

function parseLoad(header: string | undefined): LoadReport | undefined {
  if (header === undefined) return undefined;
  const [running, waiting, slots, slowness] = header.split(',').map(Number);
  if (!isCount(running) || !isCount(waiting) || !isCount(slots)) return undefined;
  return {
    running,
    waiting,
    slots,
    slowness: isCount(slowness) ? slowness / SLOWNESS_UNIT : undefined,
  };
}

function headerText(header: string | string[] | undefined): string | undefined {
  return typeof header === 'string' ? header : undefined;
}

/** Milliseconds that a client waits; a longer time is cut to the longest one. */
function parseDeadlineMs(header: string | undefined): number | undefined {
  const waitMs = Number(header ?? 'absent');
  return waitMs >= 0 ? Math.min(waitMs, MAX_DURATION_MS) : undefined;
}
