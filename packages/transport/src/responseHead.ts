/** Checks the heads of responses where they enter, since Node.js reads more from a server than it sends to a client. */
import {
  type IncomingHttpHeaders,
  type IncomingMessage,
  validateHeaderName,
  validateHeaderValue,
} from 'node:http';
import {err, ok, Result} from 'neverthrow';

/** The head of a response that a server of Node.js can send as it is. */
export interface ResponseHead {
  /** From 200 to 599. */
  readonly status: number;
  /** Reason phrase; may be empty. */
  readonly reason: string;
  /** Alternating names and values, in the order and case of the endpoint. */
  readonly rawHeaders: readonly string[];
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

/** The head of a response, or what is wrong with it. */
export function readResponseHead(message: IncomingMessage): Result<ResponseHead, string> {
  const {statusCode: status = 0, statusMessage: reason = '', rawHeaders, headers} = message;
  if (status < MIN_STATUS || status > MAX_STATUS) return err(`the status is ${status}`);
  if (!isHeaderText(reason)) return err('the reason has an invalid character');
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const [name = '', value = ''] = [rawHeaders[index], rawHeaders[index + 1]];
    const checked = checkName(name).andThen(() => checkValue(name, value));
    if (checked.isErr()) return err(checked.error);
  }
  return ok({status, reason, rawHeaders, headers});
}

/** Whether a text can be sent as the value of a header, or as a reason phrase. */
export function isHeaderText(text: string): boolean {
  return checkValue('text', text).isOk();
}
