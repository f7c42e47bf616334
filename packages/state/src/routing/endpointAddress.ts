/** Addresses in records that other writers may have left in the key-value service. */
import {z} from 'zod';

const MAX_PORT = 65_535;

/** `host:port` that a connection can be opened to. */
export const endpointAddressSchema = z
  .string()
  .max(255)
  .regex(/^[^:\s]+:\d{1,5}$/, 'an address such as 10.0.0.5:8080')
  .refine(
    (address) => {
      const port = Number(address.slice(address.lastIndexOf(':') + 1));
      return port >= 1 && port <= MAX_PORT;
    },
    {error: `a port from 1 to ${MAX_PORT}`},
  );
