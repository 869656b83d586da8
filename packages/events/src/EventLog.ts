import { Logger } from 'tslog';

import type { LogEvent, LogEventId, LogLevel } from './logEvents.js';
import { LOG_EVENTS } from './logEvents.js';

/**
 * What a line tells beside what every line has.
 *
 * Those names are taken: a field `id` would replace the event's, and nobody who
 * looks for the event would find the line.
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

export const MIN_LEVEL: Readonly<Record<LogLevel, number>> = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
};

/**
 * Creates a log that writes one JSON object a line.
 *
 * @param instance - name that every line carries
 * @param level - events below it are left out
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

/** A log that writes nothing, for embedded use. */
export const SILENT_LOG: EventLog = { write: () => undefined };
