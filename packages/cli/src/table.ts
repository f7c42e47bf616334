/** Formats tables for terminal output. */

/** Formats rows as aligned columns under a heading; undefined cells are shown as `-`. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly (string | number | undefined)[])[],
): string {
  const lines = [heading, ...rows.map((row) => row.map((cell) => String(cell ?? '-')))];
  const widths = heading.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
