/** Remote methods of the control connection between processes. */
import type {z} from 'zod';

/** A remote method: its name, the schemas of its parameters and result, and the encoding of the result. */
export interface Method<P, R> {
  readonly name: string;
  readonly params: z.ZodType<P>;
  readonly result: z.ZodType<R>;
  /** Encodes the result in a shorter form that the result schema also accepts. */
  readonly encode: (result: R) => unknown;
}

/** Defines a method; without `encode`, results are sent unchanged. */
export function defineMethod<P, R>(
  name: string,
  params: z.ZodType<P>,
  result: z.ZodType<R>,
  encode: (result: R) => unknown = (value) => value,
): Method<P, R> {
  return {name, params, result, encode};
}
