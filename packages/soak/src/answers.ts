import murmurhash from 'murmurhash';

/** What a caller asks a replica to do; it stands in the request's body. */
export interface WorkOrder {
  readonly workMs: number;
  /** Events of a stream; 0 for a plain answer. */
  readonly events: number;
  /** Time between them. */
  readonly gapMs: number;
  /** Whether it ends the process that runs it; no where omitted. */
  readonly crashes?: boolean | undefined;
}

const MIN_CHARS = 200;
const MAX_EXTRA_CHARS = 3000;
const LAST = 'last';

/**
 * The body of a plain answer; whoever knows the run can tell whether it is whole.
 *
 * @param id - of the request
 * @param mark - of the run
 * @returns text whose length and content depend on both
 */
export function plainBody(id: string, mark: string): string {
  const unit = `${id}/${mark};`;
  const chars = MIN_CHARS + (murmurhash.v3(unit) % MAX_EXTRA_CHARS);
  return unit.repeat(Math.ceil(chars / unit.length)).slice(0, chars);
}

/** One event of a stream; the last says that it is. */
export function eventText(id: string, number: number, events: number): string {
  const end = number === events ? ` ${LAST}` : '';
  return `id: ${number}\ndata: ${id} ${number}${end}\n\n`;
}

/** Events of a stream in one text. */
export function streamBody(id: string, from: number, events: number): string {
  return Array.from({ length: Math.max(0, events - from + 1) }, (_, index) =>
    eventText(id, from + index, events),
  ).join('');
}
