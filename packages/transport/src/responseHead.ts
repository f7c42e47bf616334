/** Checks the heads of responses where they enter, since Node.js reads more from a server than it sends to a client. */
import {
  type IncomingHttpHeaders,
  type IncomingMessage,
  validateHeaderName,
  validateHeaderValue,
} from 'node:http';
import {err, ok, Result} from 'neverthrow';
import {HeaderLines, readFields} from './headerLines.js';

/** The head of a response that a server of Node.js can send as it is. */
export interface ResponseHead {
  /** From 200 to 599. */
  readonly status: number;
  /** Reason phrase; may be empty. */
  readonly reason: string;
  /** In the order and case of the endpoint. */
  readonly lines: HeaderLines;
  /** The fields that the client reads; the names are in lower case. */
  readonly headers: Readonly<IncomingHttpHeaders>;
}

/** First and last status of a final response; from any other, a client learns nothing about its request. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

const checkName = Result.fromThrowable(validateHeaderName, () => 'a header name is invalid');
const checkValue = Result.fromThrowable(
  validateHeaderValue,
  () => 'a header value has an invalid character',
);

/** Fields that the client of the endpoints reads itself. */
const clientFields: readonly string[] = ['content-length', 'content-type', 'keep-alive'];

/** The names in lower case of the fields that are read of a response, besides those of HTTP itself. */
export function responseFieldNames(names: Iterable<string>): ReadonlySet<string> {
  return new Set([...clientFields, ...names]);
}

/** What is wrong with the head of a response, if anything is. */
export function findHeadFault(message: IncomingMessage): string | undefined {
  const {statusCode: status = 0, statusMessage: reason = '', rawHeaders} = message;
  if (status < MIN_STATUS || status > MAX_STATUS) return `the status is ${status}`;
  if (!isHeaderText(reason)) return 'the reason has an invalid character';
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const [name = '', value = ''] = [rawHeaders[index], rawHeaders[index + 1]];
    const checked = checkName(name).andThen(() => checkValue(name, value));
    if (checked.isErr()) return checked.error;
  }
  return undefined;
}

/** Takes the head of a response from its message, which keeps some fields only; or what is wrong with it. */
export function takeResponseHead(
  message: IncomingMessage,
  fieldNames: ReadonlySet<string>,
): Result<ResponseHead, string> {
  const fault = findHeadFault(message);
  if (fault !== undefined) return err(fault);
  const {statusCode: status = 0, statusMessage: reason = '', rawHeaders} = message;
  const lines = new HeaderLines(rawHeaders);
  const headers = readFields(rawHeaders, fieldNames);
  message.rawHeaders = [];
  message.headers = headers;
  return ok({status, reason, lines, headers});
}

/** Whether a text can be sent as the value of a header, or as a reason phrase. */
export function isHeaderText(text: string): boolean {
  return checkValue('text', text).isOk();
}
