/** The rate of requests that an endpoint states it takes from all instances together. */
import {countSchema} from '@marigoldfold/state';
import {z} from 'zod';

/** What an endpoint last stated about its limit. */
export interface LimitStatement {
  /** Requests per second of all instances together; undefined if the endpoint has no limit. */
  readonly perSecond: number | undefined;
  /** Time on this process's clock, in milliseconds, as of which the statement holds. */
  readonly statedAtMs: number;
}

/** The limit in a response, and when its request was sent and the response arrived, in milliseconds. */
export interface LimitNotice {
  readonly perSecond: number | undefined;
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
}

/** Schema of a statement between instances, whose clocks differ: its age replaces its time. */
export const limitMessageSchema = z.object({
  /** Requests per second; null if the endpoint has no limit. */
  perSecond: countSchema.nullable(),
  /** Age of the statement, in milliseconds. */
  ageMs: z.number().nonnegative(),
});

/** A statement as instances send it to each other. */
export type LimitMessage = Readonly<z.infer<typeof limitMessageSchema>>;

/** Encodes a statement at `nowMs` on this process's clock. */
export function encodeLimit({perSecond, statedAtMs}: LimitStatement, nowMs: number): LimitMessage {
  return {perSecond: perSecond ?? null, ageMs: Math.max(0, Math.round(nowMs - statedAtMs))};
}

/** Decodes a statement that arrived at `nowMs` on this process's clock. */
export function decodeLimit({perSecond, ageMs}: LimitMessage, nowMs: number): LimitStatement {
  return {perSecond: perSecond ?? undefined, statedAtMs: nowMs - ageMs};
}

/** The statement that holds after another instance reports one: the newer of both. */
export function newerStatement(
  current: LimitStatement | undefined,
  reported: LimitStatement,
): LimitStatement {
  return current === undefined || reported.statedAtMs > current.statedAtMs ? reported : current;
}

/**
 * The statement that holds after a response. A response without a limit ends it only if its request was sent after
 * the limit was stated, since the response may have begun before.
 */
export function applyLimitNotice(
  current: LimitStatement | undefined,
  {perSecond, sentAtMs, receivedAtMs}: LimitNotice,
): LimitStatement | undefined {
  if (perSecond !== undefined) return {perSecond, statedAtMs: receivedAtMs};
  if (current?.perSecond === undefined || sentAtMs <= current.statedAtMs) return current;
  return {perSecond: undefined, statedAtMs: receivedAtMs};
}
