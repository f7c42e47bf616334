/** The rate of requests that an endpoint states it takes from all instances together. */

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
