/** Message by which an instance states its request counts to another one. */
import {timeSchema} from '@marigoldfold/state';
import {z} from 'zod';

const countSchema = z.number().int().nonnegative();

/** Schema of a statement, which is the full state of one instance or, if that is too long, a part of it. */
export const usageStatementSchema = z.object({
  /** Name of the instance that has counted; a peer sends the counts of an instance that is gone. */
  instance: z.string(),
  /** Identifies the lifetime of that instance's process. */
  lifetime: z.string(),
  /** The sender's time, if the sender has counted. */
  time: z.object({ownMs: timeSchema, agreedMs: timeSchema.optional()}).optional(),
  /** Whether the sender holds the duty. */
  isHolder: z.boolean().default(false),
  /** Window in which the instance started. */
  since: z.number().int(),
  /** Last window whose counts are final. */
  finalThrough: z.number().int(),
  /** Windows that were seen in the record, with a digest of their counts: nobody may choose others. */
  recorded: z.array(z.tuple([z.number().int(), z.number()])).readonly(),
  /**
   * Windows not yet recorded: number, total of all accounts, and the counts of some accounts. Counts never decrease, so
   * that the larger one of two statements is the newer one; the total tells whether parts are missing.
   */
  windows: z
    .array(
      z.tuple([
        z.number().int(),
        countSchema,
        z.array(z.tuple([z.string(), countSchema])).readonly(),
      ]),
    )
    .readonly(),
});

/** Full or partial state of one instance. */
export type UsageStatement = Readonly<z.infer<typeof usageStatementSchema>>;

/** Largest statement, in bytes, that fits into a message of 1,200 bytes together with the other fields of an update. */
const MAX_STATEMENT_BYTES = 900;

/** Splits a statement by account until each part fits into a message. */
export function splitStatement(statement: UsageStatement): readonly UsageStatement[] {
  const accounts = statement.windows.reduce((sum, [, , counts]) => sum + counts.length, 0);
  if (accounts < 2 || Buffer.byteLength(JSON.stringify(statement)) <= MAX_STATEMENT_BYTES)
    return [statement];
  const middle = Math.ceil(accounts / 2);
  return [
    [0, middle],
    [middle, accounts],
  ].flatMap(([start = 0, end = 0]) =>
    splitStatement({...statement, windows: takeCounts(statement.windows, start, end)}),
  );
}

/** Keeps the counts from index `start` to before `end`, and the totals of all windows. */
function takeCounts(
  windows: UsageStatement['windows'],
  start: number,
  end: number,
): UsageStatement['windows'] {
  let offset = 0;
  return windows.map(([window, total, counts]) => {
    const taken = counts.slice(Math.max(0, start - offset), Math.max(0, end - offset));
    offset += counts.length;
    return [window, total, taken];
  });
}
