import { Logger } from 'tslog';

import type { LogEvent, LogEventId, LogLevel } from './logEvents.js';
import { LOG_EVENTS } from './logEvents.js';

/**
 * Fields of a line beyond those that every line has.
 *
 * The names of the common fields are reserved: a field `id` would replace the id of
 * the event, and a search for the event would miss the line.
 */
export type EventFields = Readonly<Record<string, unknown>> & {
  readonly atMs?: never;
  readonly event?: never;
  readonly id?: never;
  readonly instance?: never;
  readonly level?: never;
  readonly time?: never;
};

/** Writes numbered events. */
export interface EventLog {
  readonly write: (id: LogEventId, fields: EventFields) => void;
}

/** Numbers of the log levels in tslog. */
export const MIN_LEVEL: Readonly<Record<LogLevel, number>> = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
};

/**
 * Creates a log that writes one JSON object per line.
 *
 * @param instance - name of the instance, which every line carries
 * @param level - events below this level are left out
 * @returns the log
 */
export function createEventLog(instance: string, level: LogLevel): EventLog {
  const logger = new Logger<object>({
    type: 'json',
    minLevel: MIN_LEVEL[level],
  });
  return {
    write: (id, fields) => {
      const event: LogEvent = LOG_EVENTS[id];
      const { number, summary } = event;
      logger[event.level]({ event: number, id, summary, instance, ...fields });
    },
  };
}

/** A log that discards all events. */
export const SILENT_LOG: EventLog = { write: () => undefined };
