/** Defaults of Node.js for the heads of messages that drop lines, or occupy many times their bytes. */
import type {ClientRequest, OutgoingMessage, Server} from 'node:http';

/** Reads one character. Unlike a method of the string, a search is not left out when its result is not used. */
const FIRST_CHARACTER = /^\s/;

/**
 * Makes the head of a message one string. Until it is written, Node.js holds it as a chain of strings, several for each
 * line, which occupies many times its bytes.
 */
export function joinHead(message: OutgoingMessage): void {
  const {_header: head} = message as OutgoingMessage & {readonly _header?: string | null};
  if (typeof head === 'string') FIRST_CHARACTER.test(head);
}

/** By default, Node.js drops the lines of a head beyond some 1,000; the size of a head is limited all the same. */
export function keepAllLines(source: ClientRequest | Server): void {
  source.maxHeadersCount = 0;
}
