import type { EventFields, EventLog } from './EventLog.js';
import { MIN_LEVEL } from './EventLog.js';
import { LineWriter } from './LineWriter.js';
import type { LogEvent, LogEventId, LogLevel } from './logEvents.js';
import { LOG_EVENTS } from './logEvents.js';

/** Options of a bounded log. */
export interface EventLogOptions {
  /** Name of the instance, which every line carries. */
  readonly instance: string;
  /** Events below this level are left out. */
  readonly level: LogLevel;
  /** Monotonic clock, in milliseconds. */
  readonly clock: () => number;
  /** Where lines go; standard output by default. */
  readonly writer?: LineWriter;
}

/**
 * Lines per second and event; further lines are only counted, by cause.
 *
 * A busy instance handles about 20 requests per second. Successes are sampled above
 * five times that rate; warnings, which on-call engineers look up one by one, are
 * written in full up to fifteen times that rate.
 */
const MAX_LINES_PER_S: Readonly<Record<LogLevel, number>> = {
  debug: 100,
  info: 100,
  warn: 300,
  error: 300,
};
/** Causes per event that are counted separately; the others are counted together. */
const MAX_CAUSES = 20;
const OTHER_CAUSES = 'other';
const SECOND_MS = 1000;

/** Lines of one event in the current second. */
interface EventCount {
  /** Start of the second, on the monotonic clock. */
  readonly sinceMs: number;
  lines: number;
  /** Lines left out. */
  left: number;
  /** Lines left out, by the cause that they state. */
  readonly omittedByCause: Map<string, number>;
}

/** @returns the cause that a line states; the field for it differs by event */
function causeOf(fields: Readonly<Record<string, unknown>>): string {
  const cause = fields.code ?? fields.reason ?? fields.kind ?? fields.status;
  return typeof cause === 'string' || typeof cause === 'number'
    ? String(cause)
    : OTHER_CAUSES;
}

function countOmitted(
  count: EventCount,
  fields: Readonly<Record<string, unknown>>,
): void {
  const { omittedByCause } = count;
  const cause = causeOf(fields);
  const isKnown = omittedByCause.has(cause) || omittedByCause.size < MAX_CAUSES;
  const key = isKnown ? cause : OTHER_CAUSES;
  count.left += 1;
  omittedByCause.set(key, (omittedByCause.get(key) ?? 0) + 1);
}

/**
 * Creates a log with bounded volume that never waits for its reader.
 *
 * Each event has a limit of lines per second. Lines above the limit, and lines that
 * the reader was too slow for, are reported by a `linesLeftOut` event with the
 * numbers by cause.
 *
 * @param options - name of the instance, level, clock and writer
 * @returns the log
 */
export function createBoundedLog(options: EventLogOptions): EventLog {
  const { instance, level, clock, writer = new LineWriter() } = options;
  const counts = new Map<LogEventId, EventCount>();

  const emit = (id: LogEventId, fields: EventFields): void => {
    const event: LogEvent = LOG_EVENTS[id];
    if (MIN_LEVEL[event.level] < MIN_LEVEL[level]) {
      return;
    }
    // Written without the logging library, which took nearly half of the time of
    // a line.
    writer.write(
      JSON.stringify({
        level: event.level.toUpperCase(),
        event: event.number,
        id,
        instance,
        time: new Date().toISOString(),
        atMs: Math.round(clock()),
        ...fields,
      }),
    );
  };

  const countOf = (id: LogEventId): EventCount => {
    const nowMs = clock();
    const known = counts.get(id);
    if (known && nowMs - known.sinceMs < SECOND_MS) {
      return known;
    }
    const dropped = writer.takeDropped();
    if ((known?.left ?? 0) > 0 || dropped > 0) {
      emit('linesLeftOut', {
        of: id,
        left: known?.left ?? 0,
        causes: Object.fromEntries(known?.omittedByCause ?? []),
        dropped,
      });
    }
    const fresh: EventCount = {
      sinceMs: nowMs,
      lines: 0,
      left: 0,
      omittedByCause: new Map(),
    };
    counts.set(id, fresh);
    return fresh;
  };

  return {
    write: (id, fields) => {
      const count = countOf(id);
      if (count.lines >= MAX_LINES_PER_S[LOG_EVENTS[id].level]) {
        countOmitted(count, fields);
        return;
      }
      count.lines += 1;
      emit(id, fields);
    },
  };
}
