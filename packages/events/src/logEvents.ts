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
  gatewayReady: {
    number: 104,
    level: 'info',
    summary: 'The gateway takes callers.',
  },
  settingsReloaded: {
    number: 105,
    level: 'info',
    summary: 'The settings file was read again.',
  },
  settingsRefused: {
    number: 106,
    level: 'error',
    summary:
      'The settings file has faults; the earlier settings stay in force.',
  },
  wokeUp: {
    number: 107,
    level: 'warn',
    summary: 'The process stood still for a while; its view is read anew.',
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
  replicaChanged: {
    number: 303,
    level: 'info',
    summary:
      'A backend server was added, changed, started again, is leaving or is gone.',
  },
  backendAvoided: {
    number: 304,
    level: 'warn',
    summary:
      'This instance begins or ceases to give a backend server probes only.',
  },
  entryUnreadable: {
    number: 305,
    level: 'error',
    summary: 'The entry of a backend server could not be read; it is not used.',
  },
  replicaLimited: {
    number: 306,
    level: 'info',
    summary:
      'A backend server names or changes the requests a second that it takes, or takes any number again.',
  },
  memberChanged: {
    number: 401,
    level: 'info',
    summary: 'Another instance changed state.',
  },
  pullFailed: {
    number: 402,
    level: 'warn',
    summary:
      'Another instance that knows more could not be asked for it; the next that tells is.',
  },
  requestFailed: {
    number: 501,
    level: 'warn',
    summary: 'An accepted request ended in a refusal.',
  },
  requestPlaced: {
    number: 502,
    level: 'info',
    summary: 'A request was sent to a backend server.',
  },
  attemptFailed: {
    number: 503,
    level: 'warn',
    summary:
      'An attempt gave no answer for the caller; the next step stands beside it.',
  },
  requestAnswered: {
    number: 504,
    level: 'info',
    summary: 'A request got its whole answer.',
  },
  requestRefused: {
    number: 505,
    level: 'warn',
    summary: 'A request was refused and did not run.',
  },
  requestCut: {
    number: 506,
    level: 'warn',
    summary: 'A request ended without a whole answer after it was sent.',
  },
  callerLeft: {
    number: 507,
    level: 'info',
    summary: 'The caller closed its connection before the answer ended.',
  },
  requestBarred: {
    number: 508,
    level: 'warn',
    summary:
      'Requests with this fingerprint crashed several backend servers and are no longer sent, or may be again.',
  },
  linesLeftOut: {
    number: 902,
    level: 'warn',
    summary:
      'Log lines beyond the bound of their event were counted instead of written.',
  },
  dutiesTaken: {
    number: 601,
    level: 'info',
    summary: 'This instance holds the duties that one does for all.',
  },
  dutiesLost: {
    number: 602,
    level: 'info',
    summary: 'This instance holds the duties no longer.',
  },
  holdingFailed: {
    number: 603,
    level: 'warn',
    summary: 'The store did not answer a call about who holds the duties.',
  },
  usageDecided: {
    number: 604,
    level: 'info',
    summary: 'The usage of a window of time is counted for good.',
  },
  usageReported: {
    number: 605,
    level: 'info',
    summary: 'The platform has accepted the usage of a window.',
  },
  ordersDue: {
    number: 606,
    level: 'info',
    summary:
      'Replicas of a service are to be ordered or given back; need and what stands are beside it.',
  },
  replicasOrdered: {
    number: 607,
    level: 'info',
    summary: 'The platform answered an order of replicas.',
  },
  dutyCallFailed: {
    number: 608,
    level: 'warn',
    summary:
      'The platform did not answer a call that one instance makes for all.',
  },
  dutiesUnknown: {
    number: 609,
    level: 'warn',
    summary: 'The settings name duties that this system does not know.',
  },
  unexpectedError: {
    number: 901,
    level: 'error',
    summary: 'An error that no code foresaw.',
  },
} as const satisfies Readonly<Record<string, LogEvent>>;

export type LogEventId = keyof typeof LOG_EVENTS;
