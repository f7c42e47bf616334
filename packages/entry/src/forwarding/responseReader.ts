/** Reads an endpoint's response, buffered or chunk by chunk. */
import type {BufferShare, EndpointResponse} from '@marigoldfold/transport';

/** Responses up to this size are buffered completely before they are relayed. */
const MAX_BUFFERED_RESPONSE_BYTES = 262_144;
/** Number of chunks from which on they are joined, since each occupies memory of its own. */
const MAX_CHUNKS = 64;

/** Result of buffering a response; `broken` means that it ended early. */
export type BufferingResult =
  /** The body is not joined: the copies of many responses occupy as much memory again until they are collected. */
  | {readonly kind: 'whole'; readonly body: readonly Buffer[]}
  | {readonly kind: 'broken'}
  /** The response exceeds the buffer limit or its share and is paused; `body` has its first bytes. */
  | {readonly kind: 'large'; readonly body: readonly Buffer[]};

/** Reads a response to its end, or pauses it when it is too large to be kept. */
export function bufferResponse(
  {body, isComplete}: EndpointResponse,
  share: BufferShare,
): Promise<BufferingResult> {
  return new Promise((resolve) => {
    let chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: BufferingResult) => {
      body.off('data', onData);
      body.off('end', onEnd);
      body.off('close', onClose);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      if (chunks.length > MAX_CHUNKS) chunks = [Buffer.concat(chunks)];
      size += chunk.length;
      if (share.resize(size) && size <= MAX_BUFFERED_RESPONSE_BYTES) return;
      body.pause();
      finish({kind: 'large', body: chunks});
    };
    const onEnd = () => {
      finish(isComplete() ? {kind: 'whole', body: chunks} : {kind: 'broken'});
    };
    const onClose = () => {
      finish({kind: 'broken'});
    };
    body.on('data', onData);
    body.on('end', onEnd);
    body.on('close', onClose);
  });
}

/** Handles a chunk; `next` continues once the promise has resolved, `stop` ends the reading. */
export type ChunkHandler = (chunk: Buffer) => Promise<'next' | 'stop'>;

/** Calls the handler for each chunk as it arrives; resolves to true when the response is complete. */
export async function forEachChunk(
  {body, isComplete}: EndpointResponse,
  handleChunk: ChunkHandler,
): Promise<boolean> {
  try {
    for await (const chunk of body) {
      if ((await handleChunk(chunk as Buffer)) === 'stop') return false;
    }
  } catch {
    // A broken connection ends the iteration; `isComplete` then reports an incomplete response.
  }
  return isComplete();
}
