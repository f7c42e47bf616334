/** Buffers response bodies up to a size limit. */
import type {IncomingMessage} from 'node:http';

/** 16 MiB, several times the largest value that a key-value service stores. */
const MAX_BODY_BYTES = 16_777_216;

/** Resolves to undefined and closes the connection if the body is truncated or over 16 MiB. */
export async function readWholeBody(body: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of body) {
      size += (chunk as Buffer).length;
      if (size > MAX_BODY_BYTES) return undefined;
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}
