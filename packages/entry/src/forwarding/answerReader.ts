/** Reads the answer of an endpoint, whole or part by part. */
import type {EndpointAnswer} from '@marigoldfold/transport';

/** Answers up to this size are read whole before they are passed on, in bytes. */
const WHOLE_ANSWER_LIMIT_BYTES = 262_144;

/** How reading an answer went. */
export type WholeRead =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'broken'}
  /** The answer is too large to be held; its first bytes are in `body`. */
  | {readonly kind: 'large'; readonly body: Buffer};

/** Reads an answer to its end; a large one is paused after its first bytes. */
export function readWhole({message, isWhole}: EndpointAnswer): Promise<WholeRead> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    const finish = (read: WholeRead) => {
      message.off('data', take);
      message.off('end', end);
      message.off('close', close);
      resolve(read);
    };
    const take = (part: Buffer) => {
      parts.push(part);
      size += part.length;
      if (size <= WHOLE_ANSWER_LIMIT_BYTES) return;
      message.pause();
      finish({kind: 'large', body: Buffer.concat(parts)});
    };
    const end = () => {
      finish(isWhole() ? {kind: 'whole', body: Buffer.concat(parts)} : {kind: 'broken'});
    };
    const close = () => {
      finish({kind: 'broken'});
    };
    message.on('data', take);
    message.on('end', end);
    message.on('close', close);
  });
}

/** What a reader does with a part: to go on after the promise, or to stop. */
export type TakePart = (part: Buffer) => Promise<'next' | 'stop'>;

/** Passes on the parts of an answer as they arrive; resolves to whether its end was reached. */
export async function readParts(
  {message, isWhole}: EndpointAnswer,
  take: TakePart,
): Promise<boolean> {
  try {
    for await (const part of message) {
      if ((await take(part as Buffer)) === 'stop') return false;
    }
  } catch {
    // A broken connection ends the answer; `isWhole` tells it from a whole one.
  }
  return isWhole();
}
