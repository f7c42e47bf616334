/** Reads the body of an answer whole, within a limit. */
import type {IncomingMessage} from 'node:http';

/** Largest body that is held, in bytes: some times the largest value of a key-value service. */
const MAX_BODY_BYTES = 16_777_216;

/** Resolves to undefined when the body is cut off or too large; its connection is closed then. */
export async function readWholeBody(body: IncomingMessage): Promise<Buffer | undefined> {
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of body) {
      size += (part as Buffer).length;
      if (size > MAX_BODY_BYTES) return undefined;
      parts.push(part as Buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(parts);
}
