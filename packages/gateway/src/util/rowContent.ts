/**
 * Decodes the content of a store row.
 *
 * An invalid row is returned as text, which decoders reject. An exception would
 * fail the read of all other rows, at every retry.
 *
 * @param value - base64-encoded JSON
 * @returns the decoded JSON, or the text if it is not valid JSON
 */
export function parseRowContent(value: string): unknown {
  const text = Buffer.from(value, 'base64').toString('utf8');
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/**
 * Encodes the content of a store row.
 *
 * @param content - value that JSON can represent
 * @returns base64-encoded JSON
 */
export function formatRowContent(content: unknown): string {
  return Buffer.from(JSON.stringify(content)).toString('base64');
}
