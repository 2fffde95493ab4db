/**
 * Renders a JSON value as indented text, one field per line.
 *
 * @param value - JSON value
 * @param indent - Text before each line
 * @returns Lines joined by line feeds
 */
export function renderTree(value: unknown, indent = ''): string {
  const lines: string[] = [];
  for (const [name, child] of Object.entries(value as object)) {
    if (isLeaf(child)) {
      lines.push(`${indent}${name}: ${formatLeaf(child)}`);
      continue;
    }
    lines.push(`${indent}${name}:`);
    lines.push(renderTree(child, `${indent}  `));
  }
  return lines.join('\n');
}

function isLeaf(value: unknown): boolean {
  return typeof value !== 'object' || value === null || Object.keys(value).length === 0;
}

function formatLeaf(value: unknown): string {
  if (typeof value === 'string') return value;
  return JSON.stringify(value);
}

/**
 * Renders rows as aligned columns.
 *
 * @param header - Column names
 * @param rows - Cells of each row
 * @returns Lines joined by line feeds
 */
export function renderTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map((name, column) =>
    Math.max(name.length, ...rows.map((row) => (row[column] ?? '').length)),
  );
  const renderRow = (cells: readonly string[]): string =>
    widths
      .map((width, column) => (cells[column] ?? '').padEnd(width))
      .join('  ')
      .trimEnd();
  return [header, ...rows].map(renderRow).join('\n');
}
