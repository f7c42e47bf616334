/** A method of the control connection, with the schemas of its parameters and its result. */
import type {z} from 'zod';

/** A method with the schemas of its parameters and its result. */
export interface Method<P, R> {
  readonly name: string;
  readonly params: z.ZodType<P>;
  readonly result: z.ZodType<R>;
  /** A shorter form of the result that its schema reads as well. */
  readonly encode: (result: R) => unknown;
}

/** Defines a method. */
export function defineMethod<P, R>(
  name: string,
  params: z.ZodType<P>,
  result: z.ZodType<R>,
  encode: (result: R) => unknown = (whole) => whole,
): Method<P, R> {
  return {name, params, result, encode};
}
