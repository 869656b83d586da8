/**
 * Decodes what a row of a store holds.
 *
 * Guards against one row that is no JSON: thrown on, it would fail the read of all
 * others, again at every try. It is handed on as text, which no decoder takes for
 * an entry.
 *
 * @param value - base64 of JSON
 */
export function parseRowContent(value: string): unknown {
  const text = Buffer.from(value, 'base64').toString('utf8');
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** @returns the content of a row as a store keeps it */
export function formatRowContent(content: unknown): string {
  return Buffer.from(JSON.stringify(content)).toString('base64');
}
