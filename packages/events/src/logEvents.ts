/** Severity of an event. */
export type LogLevel = 'debug' | 'error' | 'info' | 'warn';

/** One row of the event catalogue, which docs/EVENTS.md lists as well. */
export interface LogEvent {
  /** Stable number by which log searches find the event. */
  readonly number: number;
  readonly level: LogLevel;
  readonly summary: string;
}

/** All logged events. Numbers are never reused. See docs/EVENTS.md. */
export const LOG_EVENTS = {
  instanceStarted: {
    number: 101,
    level: 'info',
    summary: 'The instance accepts callers.',
  },
  instanceStopping: {
    number: 102,
    level: 'info',
    summary: 'A stop was requested; requests in flight are finished first.',
  },
  instanceStopped: {
    number: 103,
    level: 'info',
    summary: 'The last request has ended and the instance has stopped.',
  },
  gatewayReady: {
    number: 104,
    level: 'info',
    summary: 'The gateway accepts callers.',
  },
  settingsReloaded: {
    number: 105,
    level: 'info',
    summary: 'The settings file was reloaded.',
  },
  settingsRefused: {
    number: 106,
    level: 'error',
    summary:
      'The settings file is invalid; the previous settings stay in force.',
  },
  wokeUp: {
    number: 107,
    level: 'warn',
    summary:
      'The process was suspended for a while; it reloads its view of the fleet.',
  },
  settingsNeedRestart: {
    number: 108,
    level: 'warn',
    summary:
      'The settings file has changes that take effect at the next start.',
  },
  lenientParser: {
    number: 109,
    level: 'warn',
    summary:
      'The HTTP parser of the runtime accepts malformed heads; the instance refuses them itself.',
  },
  configurationInForce: {
    number: 201,
    level: 'info',
    summary: 'A newer configuration revision is in force.',
  },
  configurationSource: {
    number: 202,
    level: 'warn',
    summary:
      'The table did not answer; the configuration came from a peer or the snapshot.',
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
      'A backend server was added, changed, restarted or removed, or is leaving.',
  },
  backendAvoided: {
    number: 304,
    level: 'warn',
    summary:
      'This instance starts or stops sending only probe requests to a backend server.',
  },
  entryUnreadable: {
    number: 305,
    level: 'error',
    summary:
      'The store entry of a backend server is invalid; the server is not used.',
  },
  replicaLimited: {
    number: 306,
    level: 'info',
    summary:
      'A backend server announced, changed or lifted its limit on requests per second.',
  },
  leaveAnnounced: {
    number: 307,
    level: 'info',
    summary: 'A backend server stated in an answer that it is leaving.',
  },
  pauseRequested: {
    number: 308,
    level: 'info',
    summary:
      'A backend server rejected a request and accepts nothing from this instance for a while.',
  },
  storeRestored: {
    number: 309,
    level: 'warn',
    summary:
      'The store was restored from an older copy; its versions are assigned again.',
  },
  replicasReloaded: {
    number: 310,
    level: 'info',
    summary:
      'All backend servers were read anew, from the store or another instance.',
  },
  sentOnOldView: {
    number: 311,
    level: 'warn',
    summary:
      'A request was sent by a view of the backend servers that was confirmed long ago.',
  },
  viewLeaseBypassed: {
    number: 312,
    level: 'warn',
    summary:
      'Requests are placed by an outdated view, since the store is unavailable to all instances.',
  },
  viewLeaseRestored: {
    number: 313,
    level: 'info',
    summary: 'Requests are no longer placed by an outdated view.',
  },
  pathLost: {
    number: 314,
    level: 'warn',
    summary:
      'Another instance connects to a backend server and this one does not; requests go through other instances.',
  },
  pathRestored: {
    number: 315,
    level: 'info',
    summary: 'This instance connects to a backend server again.',
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
      'Newer state could not be fetched from another instance; the next one that announces it is asked.',
  },
  tunnelOpened: {
    number: 403,
    level: 'info',
    summary:
      'A connection to a backend server was opened for another instance.',
  },
  tunnelRefused: {
    number: 404,
    level: 'info',
    summary:
      'Another instance asked for a connection to a backend server and got none.',
  },
  requestFailed: {
    number: 501,
    level: 'warn',
    summary: 'An accepted request was refused later.',
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
      'An attempt gave no answer for the caller; the field next names the step that follows.',
  },
  requestAnswered: {
    number: 504,
    level: 'info',
    summary: 'A request was answered completely.',
  },
  requestRefused: {
    number: 505,
    level: 'warn',
    summary: 'A request was refused and did not run.',
  },
  requestCut: {
    number: 506,
    level: 'warn',
    summary: 'A request ended without a complete answer after it was sent.',
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
      'Requests with this fingerprint are barred since they crashed several backend servers, or allowed again.',
  },
  requestRelayed: {
    number: 509,
    level: 'info',
    summary:
      'A request is sent to its backend server through another instance.',
  },
  promptPartJudged: {
    number: 510,
    level: 'warn',
    summary:
      'Requests with this part of a prompt are suspected to crash backend servers, barred, or cleared.',
  },
  responseInvalid: {
    number: 511,
    level: 'warn',
    summary:
      'What a backend server sent is no response to the request, or could not be processed; the attempt ended.',
  },
  connectionError: {
    number: 512,
    level: 'warn',
    summary:
      'Bytes on the connection of a caller were no request, were too many, or came too late.',
  },
  attemptWithdrawn: {
    number: 513,
    level: 'warn',
    summary:
      'This instance withdraws an attempt; what becomes of the request is not decided yet.',
  },
  responseIncomplete: {
    number: 514,
    level: 'warn',
    summary:
      'The connection of a caller ended before the response to its request was complete.',
  },
  requestNotBegun: {
    number: 515,
    level: 'info',
    summary:
      'A connection ended before its next request could begin; no backend server received the request.',
  },
  linesLeftOut: {
    number: 902,
    level: 'warn',
    summary:
      'Log lines above the rate limit of their event were counted instead of written.',
  },
  clientLimitReached: {
    number: 516,
    level: 'warn',
    summary:
      'Connections were closed since the clients of a server hold too much; the client is that of the latest one.',
  },
  dutiesTaken: {
    number: 601,
    level: 'info',
    summary: 'This instance holds the lease for the duties of the fleet.',
  },
  dutiesLost: {
    number: 602,
    level: 'info',
    summary:
      'This instance no longer holds the lease for the duties of the fleet.',
  },
  holdingFailed: {
    number: 603,
    level: 'warn',
    summary:
      'The store did not answer a call about the lease for the duties of the fleet.',
  },
  usageDecided: {
    number: 604,
    level: 'info',
    summary: 'The usage count of a time window is final.',
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
      'Replicas of a service are to be ordered or released; the fields state the need and the present number.',
  },
  replicasOrdered: {
    number: 607,
    level: 'info',
    summary: 'The platform answered an order for replicas.',
  },
  dutyCallFailed: {
    number: 608,
    level: 'warn',
    summary:
      'The platform did not answer a call of the instance that holds the duties.',
  },
  dutiesUnknown: {
    number: 609,
    level: 'warn',
    summary: 'The settings name unknown duties.',
  },
  unexpectedError: {
    number: 901,
    level: 'error',
    summary: 'An unexpected error.',
  },
} as const satisfies Readonly<Record<string, LogEvent>>;

export type LogEventId = keyof typeof LOG_EVENTS;
