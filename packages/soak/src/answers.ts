import murmurhash from 'murmurhash';

/** Work that a caller requests from a replica, sent as the JSON body of the request. */
export interface WorkOrder {
  /** Time until the response starts. */
  readonly workMs: number;
  /** Number of events to stream; 0 for a plain response. */
  readonly events: number;
  /** Time between events. */
  readonly gapMs: number;
  /** Whether the request crashes the replica that executes it. Defaults to false. */
  readonly crashes?: boolean | undefined;
}

const MIN_CHARS = 200;
const EXTRA_CHARS_RANGE = 3000;
const LAST_EVENT_MARKER = 'last';

/**
 * Returns the body of a plain response.
 *
 * Length and content are a function of the arguments, so that a check can compute
 * the expected body and detect one that is truncated or belongs to another request.
 *
 * @param id - request id
 * @param stamp - stamp of the execution
 */
export function plainBody(id: string, stamp: string): string {
  const unit = `${id}/${stamp};`;
  const chars = MIN_CHARS + (murmurhash.v3(unit) % EXTRA_CHARS_RANGE);
  return unit.repeat(Math.ceil(chars / unit.length)).slice(0, chars);
}

/**
 * Returns one event of a stream. The last event is marked as such.
 *
 * @param id - request id
 * @param number - number of the event, from 1
 * @param events - number of events in the stream
 */
export function eventText(id: string, number: number, events: number): string {
  const end = number === events ? ` ${LAST_EVENT_MARKER}` : '';
  return `id: ${number}\ndata: ${id} ${number}${end}\n\n`;
}

/**
 * Returns the body of a stream, from one event to the last.
 *
 * @param id - request id
 * @param from - number of the first event to include, from 1
 * @param events - number of events in the whole stream
 */
export function streamBody(id: string, from: number, events: number): string {
  return Array.from({ length: Math.max(0, events - from + 1) }, (_, index) =>
    eventText(id, from + index, events),
  ).join('');
}
