/** A parsed log line. */
export interface ParsedLine {
  readonly id: string;
  readonly instance: string;
  /** Wall-clock time in ISO 8601, as written; empty where the line has none. */
  readonly time: string;
  /** Monotonic clock of the instance, in milliseconds; 0 where the line has none. */
  readonly atMs: number;
  /** All fields of the line, these included. */
  readonly fields: Readonly<Record<string, unknown>>;
}

function parse(text: string): ParsedLine | null {
  // Log collectors may prefix the JSON object.
  const start = text.indexOf('{');
  if (start === -1) {
    return null;
  }
  try {
    const fields = JSON.parse(text.slice(start)) as Record<string, unknown>;
    const { id, instance, time, atMs } = fields;
    return typeof id === 'string' && typeof instance === 'string'
      ? {
          id,
          instance,
          time: typeof time === 'string' ? time : '',
          atMs: typeof atMs === 'number' ? atMs : 0,
          fields,
        }
      : null;
  } catch {
    // Logs also hold lines of other programs.
    return null;
  }
}

/**
 * Parses the log lines of any number of instances.
 *
 * @param text - lines in any order; lines of other programs are skipped
 * @returns the parsed lines, in the order of the text
 */
export function readLogLines(text: string): readonly ParsedLine[] {
  return text.split('\n').flatMap(line => parse(line) ?? []);
}
