/** Reads the answer of an endpoint, whole or part by part. */
import type {EndpointAnswer} from '@marigoldfold/transport';

/** Answers up to this size are read whole before they are passed on, in bytes. */
const MAX_BUFFERED_RESPONSE_BYTES = 262_144;

/** How reading an answer went. */
export type BufferingResult =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'broken'}
  /** The answer is too large to be held; its first bytes are in `body`. */
  | {readonly kind: 'large'; readonly body: Buffer};

/** Reads an answer to its end; a large one is paused after its first bytes. */
export function bufferResponse({message, isWhole}: EndpointAnswer): Promise<BufferingResult> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    const finish = (read: BufferingResult) => {
      message.off('data', onData);
      message.off('end', onEnd);
      message.off('close', onClose);
      resolve(read);
    };
    const onData = (part: Buffer) => {
      parts.push(part);
      size += part.length;
      if (size <= MAX_BUFFERED_RESPONSE_BYTES) return;
      message.pause();
      finish({kind: 'large', body: Buffer.concat(parts)});
    };
    const onEnd = () => {
      finish(isWhole() ? {kind: 'whole', body: Buffer.concat(parts)} : {kind: 'broken'});
    };
    const onClose = () => {
      finish({kind: 'broken'});
    };
    message.on('data', onData);
    message.on('end', onEnd);
    message.on('close', onClose);
  });
}

/** What a reader does with a part: to go on after the promise, or to stop. */
export type ChunkHandler = (part: Buffer) => Promise<'next' | 'stop'>;

/** Passes on the parts of an answer as they arrive; resolves to whether its end was reached. */
export async function forEachChunk(
  {message, isWhole}: EndpointAnswer,
  handleChunk: ChunkHandler,
): Promise<boolean> {
  try {
    for await (const part of message) {
      if ((await handleChunk(part as Buffer)) === 'stop') return false;
    }
  } catch {
    // A broken connection ends the answer; `isWhole` tells it from a whole one.
  }
  return isWhole();
}
