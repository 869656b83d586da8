/** How loud an event is. */
export type LogLevel = 'debug' | 'error' | 'info' | 'warn';

/** One row of the event catalogue; docs/EVENTS.md mirrors it. */
export interface LogEvent {
  readonly number: number;
  readonly level: LogLevel;
  readonly summary: string;
}

/** Every logged event; numbers are never reused. See docs/EVENTS.md. */
export const LOG_EVENTS = {
  instanceStarted: {
    number: 101,
    level: 'info',
    summary: 'The instance accepts callers.',
  },
  instanceStopping: {
    number: 102,
    level: 'info',
    summary: 'A stop was asked for; requests in flight are finished first.',
  },
  instanceStopped: {
    number: 103,
    level: 'info',
    summary: 'The last request ended and the instance is down.',
  },
  configurationInForce: {
    number: 201,
    level: 'info',
    summary: 'A later configuration revision is in force.',
  },
  configurationSource: {
    number: 202,
    level: 'warn',
    summary: 'The table did not answer; peers or the snapshot stood in.',
  },
  changeAccepted: {
    number: 203,
    level: 'info',
    summary: 'An operator change was committed.',
  },
  changeRefused: {
    number: 204,
    level: 'warn',
    summary: 'An operator call was refused.',
  },
  snapshotFailed: {
    number: 205,
    level: 'warn',
    summary: 'The configuration snapshot could not be written.',
  },
  platformDown: {
    number: 301,
    level: 'warn',
    summary: 'The platform stopped answering.',
  },
  platformBack: {
    number: 302,
    level: 'info',
    summary: 'The platform answers again.',
  },
  memberChanged: {
    number: 401,
    level: 'info',
    summary: 'Another instance changed state.',
  },
  requestFailed: {
    number: 501,
    level: 'warn',
    summary: 'An accepted request ended in a refusal.',
  },
  unexpectedError: {
    number: 901,
    level: 'error',
    summary: 'An error that no code foresaw.',
  },
} as const satisfies Readonly<Record<string, LogEvent>>;

export type LogEventId = keyof typeof LOG_EVENTS;
