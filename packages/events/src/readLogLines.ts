/** A log line of any instance, parsed. */
export interface ParsedLine {
  readonly id: string;
  readonly instance: string;
  /** Wall time as written. */
  readonly time: string;
  /** Steady clock of the instance, in milliseconds. */
  readonly atMs: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

function parse(text: string): ParsedLine | null {
  // A collector may put its own words before the object.
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
    // Not one of ours; logs hold lines of other programs too.
    return null;
  }
}

/**
 * Reads log lines of any number of instances.
 *
 * @param text - lines in any order, with others among them
 * @returns the lines that this program wrote, as they stood
 */
export function readLogLines(text: string): readonly ParsedLine[] {
  return text.split('\n').flatMap(line => parse(line) ?? []);
}
