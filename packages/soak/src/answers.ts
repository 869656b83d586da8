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
  /** Parts of the prompt that other requests share. Defaults to none. */
  readonly parts?: readonly string[] | undefined;
}

const MIN_CHARS = 200;
const EXTRA_CHARS_RANGE = 3000;
const LAST_EVENT_MARKER = 'last';
const EVENT_PATTERN = /^data: \S+ (\d+) (\S+)( last)?\n\n/gm;

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

/** What the events of a stream are made of. */
export interface StreamSource {
  /** Request id. */
  readonly id: string;
  /** Number of events in the whole stream. */
  readonly events: number;
  /** Software version that writes them. */
  readonly version: string;
}

/** An event as a caller received it. */
export interface ReceivedEvent {
  readonly number: number;
  readonly version: string;
  readonly isLast: boolean;
}

/**
 * Returns one event of a stream. The last event is marked as such.
 *
 * @param source - the stream
 * @param number - number of the event, from 1
 */
export function eventText(
  { id, events, version }: StreamSource,
  number: number,
): string {
  const end = number === events ? ` ${LAST_EVENT_MARKER}` : '';
  return `id: ${number}\ndata: ${id} ${number} ${version}${end}\n\n`;
}

/**
 * Returns the body of a stream, from one event to the last.
 *
 * @param source - the stream
 * @param from - number of the first event to include, from 1
 */
export function streamBody(source: StreamSource, from: number): string {
  return Array.from(
    { length: Math.max(0, source.events - from + 1) },
    (_, index) => eventText(source, from + index),
  ).join('');
}

/** Reads the complete events of a body. */
export function receivedEvents(body: string): readonly ReceivedEvent[] {
  return [...body.matchAll(EVENT_PATTERN)].map(
    ([, number, version = '', last]) => ({
      number: Number(number),
      version,
      isLast: last !== undefined,
    }),
  );
}
