/** Writes to a file descriptor without blocking: Node's own standard streams block the process on a full pipe. */
import {write} from 'node:fs';
import type {WriteBytes} from './boundedOutput.js';

const RETRY_MS = 20;

/** Creates a writer for a file descriptor. Discards bytes on a write error, which cannot be reported anywhere. */
export function createDescriptorWriter(descriptor: number): WriteBytes {
  return (bytes) =>
    new Promise((resolve) => {
      const writeFrom = (offset: number) => {
        write(descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
          if (error?.code === 'EAGAIN') setTimeout(writeFrom, RETRY_MS, offset);
          else if (error !== null || offset + written >= bytes.length) resolve();
          else writeFrom(offset + written);
        });
      };
      writeFrom(0);
    });
}
