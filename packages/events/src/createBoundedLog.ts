import { Logger } from 'tslog';

import type { EventFields, EventLog } from './EventLog.js';
import { MIN_LEVEL } from './EventLog.js';
import { LineWriter } from './LineWriter.js';
import type { LogEvent, LogEventId, LogLevel } from './logEvents.js';
import { LOG_EVENTS } from './logEvents.js';

/** How a bounded log is made. */
export interface EventLogOptions {
  readonly instance: string;
  readonly level: LogLevel;
  /** Steady clock in milliseconds. */
  readonly clock: () => number;
  readonly writer?: LineWriter;
}

/**
 * Lines of one event per second; above it lines are counted by cause.
 *
 * A busy instance of the fleets of today takes some 20 requests a second.
 * Successes are sampled above five times that; warnings, which on-call engineers
 * look for one by one, are told whole up to fifteen times.
 */
const MAX_LINES_PER_S: Readonly<Record<LogLevel, number>> = {
  debug: 100,
  info: 100,
  warn: 300,
  error: 300,
};
/** Causes that are counted apart; the rest counts as one. */
const MAX_CAUSES = 20;
const OTHER_CAUSES = 'other';
const SECOND_MS = 1000;

interface EventCount {
  readonly sinceMs: number;
  lines: number;
  left: number;
  /** Lines left out by what caused them. */
  readonly leftByCause: Map<string, number>;
}

/** What a line says of its cause, whatever the event calls it. */
function causeOf(fields: Readonly<Record<string, unknown>>): string {
  const cause = fields.code ?? fields.reason ?? fields.kind ?? fields.status;
  return typeof cause === 'string' || typeof cause === 'number'
    ? String(cause)
    : OTHER_CAUSES;
}

function leaveOut(
  count: EventCount,
  fields: Readonly<Record<string, unknown>>,
): void {
  const { leftByCause } = count;
  const cause = causeOf(fields);
  const isKnown = leftByCause.has(cause) || leftByCause.size < MAX_CAUSES;
  const key = isKnown ? cause : OTHER_CAUSES;
  count.left += 1;
  leftByCause.set(key, (leftByCause.get(key) ?? 0) + 1);
}

/**
 * Creates a log whose volume is bounded and which never waits for its reader.
 *
 * Each event has a bound of lines a second. What goes beyond it, or beyond what
 * the reader takes, is told by one line with the counts by cause.
 *
 * @param options - name, level and clock
 * @returns the log
 */
export function createBoundedLog(options: EventLogOptions): EventLog {
  const { instance, level, clock, writer = new LineWriter() } = options;
  const logger = new Logger<object>({
    type: 'hidden',
    minLevel: MIN_LEVEL[level],
    // Finding the calling line would take a stack trace for each log line.
    stack: { capture: 'off' },
  });
  logger.attachTransport(({ _logMeta, ...fields }) => {
    const name = _logMeta?.logLevelName ?? 'INFO';
    writer.write(JSON.stringify({ level: name, ...fields }));
  });
  const counts = new Map<LogEventId, EventCount>();

  const emit = (id: LogEventId, fields: EventFields): void => {
    const event: LogEvent = LOG_EVENTS[id];
    const atMs = Math.round(clock());
    logger[event.level]({
      event: event.number,
      id,
      instance,
      time: new Date().toISOString(),
      atMs,
      ...fields,
    });
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
        causes: Object.fromEntries(known?.leftByCause ?? []),
        dropped,
      });
    }
    const fresh: EventCount = {
      sinceMs: nowMs,
      lines: 0,
      left: 0,
      leftByCause: new Map(),
    };
    counts.set(id, fresh);
    return fresh;
  };

  return {
    write: (id, fields) => {
      const count = countOf(id);
      if (count.lines >= MAX_LINES_PER_S[LOG_EVENTS[id].level]) {
        leaveOut(count, fields);
        return;
      }
      count.lines += 1;
      emit(id, fields);
    },
  };
}
