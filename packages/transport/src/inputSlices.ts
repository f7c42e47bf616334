/** Finds the parts of a connection's input that are parsed together, and what they occupy once they are parsed. */
import type {InputSlice} from './readGate.js';

/** Input that is parsed at once where a request may end, in bytes; it holds at most 56 requests. */
export const HEAD_SLICE_BYTES = 1024;
/** Input of a body of which less than that is left, with what follows it. */
export const HEAD_SLICE: InputSlice = {bytes: HEAD_SLICE_BYTES, kind: 'head'};
/** `http.Server` limits the time for a head from its first byte on, which is therefore parsed. */
export const HEAD_START: InputSlice = {bytes: 1, kind: 'head'};
const EMPTY_LINE = '\r\n\r\n';
/** The last chunk of a body has the size 0. */
const LAST_CHUNK_START = '\n0';
const ZERO = 0x30;
const LINE_END = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Memory that Node.js occupies for each line of a parsed head beside its bytes, with the merged object; in bytes. */
const HEAD_LINE_BYTES = 200;
/** Copies of a head while its request is handled: its lines, what is sent of them, and the buffer of a socket. */
export const HEAD_COPIES = 3;

/** Whether input between two requests begins a head; the parser skips line ends there. */
export function beginsHead(input: Buffer): boolean {
  return input.some((byte) => byte !== LINE_END && byte !== CARRIAGE_RETURN);
}

/** Whether the last chunk of a chunked body may begin in the input; the line break may precede the input. */
export function mayEndBody(input: Buffer): boolean {
  return input[0] === ZERO || input.includes(LAST_CHUNK_START);
}

/** Index of the line break before what may be the last chunk; -1 if there is none. */
export function findLastChunk(input: Buffer): number {
  return input.indexOf(LAST_CHUNK_START);
}

/** Size of the whole heads at the start of the input, with bodies between them. */
export function wholeHeadBytes(input: Buffer): number {
  const window = input.subarray(0, HEAD_SLICE_BYTES);
  const end = window.lastIndexOf(EMPTY_LINE);
  return end < 0 ? window.length : end + EMPTY_LINE.length;
}

/** Memory that a part of a head, or of trailers, occupies once it is parsed, in bytes. */
export function parsedHeadBytes(part: Buffer): number {
  let bytes = HEAD_COPIES * part.length;
  for (let end = part.indexOf(LINE_END); end >= 0; end = part.indexOf(LINE_END, end + 1))
    bytes += HEAD_LINE_BYTES;
  return bytes;
}
