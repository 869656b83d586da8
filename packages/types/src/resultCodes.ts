/** Whether a backend server executed the request; `maybe` where that is unknown. */
export type ExecutionStatus = 'maybe' | 'no' | 'yes';

/** One row of the result-code catalogue, which docs/ERRORS.md lists as well. */
export interface ResultCode {
  /** Stable number by which callers and operators refer to the code. */
  readonly number: number;
  readonly httpStatus: number;
  readonly ran: ExecutionStatus;
  readonly summary: string;
  /** What the recipient of the code should do. */
  readonly action: string;
}

/** All result codes. Numbers are never reused. See docs/ERRORS.md. */
export const RESULT_CODES = {
  malformedBody: {
    number: 1001,
    httpStatus: 400,
    ran: 'no',
    summary: 'The body does not have the expected shape.',
    action: 'Correct the field that the message names.',
  },
  bodyTooLarge: {
    number: 1002,
    httpStatus: 413,
    ran: 'no',
    summary: 'The body exceeds the size limit of the instance.',
    action: 'Send a smaller body.',
  },
  unknownModel: {
    number: 1003,
    httpStatus: 404,
    ran: 'no',
    summary: 'No declared model has this name.',
    action: 'Choose a model from GET /v1/models.',
  },
  unknownClass: {
    number: 1004,
    httpStatus: 400,
    ran: 'no',
    summary: 'No declared request class has this name.',
    action: 'Set x-request-class to a declared class.',
  },
  unknownOrganisation: {
    number: 1005,
    httpStatus: 401,
    ran: 'no',
    summary: 'The organisation key is missing or not declared.',
    action: 'Send the key as a bearer token in the authorization header.',
  },
  headerOutOfRange: {
    number: 1006,
    httpStatus: 400,
    ran: 'no',
    summary: 'A header value is outside its permitted range.',
    action: 'Correct the header that the message names.',
  },
  unknownService: {
    number: 1007,
    httpStatus: 404,
    ran: 'no',
    summary: 'No backend server offers this plain service.',
    action: 'Check the service name in the path.',
  },
  unknownPath: {
    number: 1008,
    httpStatus: 404,
    ran: 'no',
    summary: 'The instance serves no such path.',
    action: 'See docs/CALLERS.md for the paths.',
  },
  requestIdMissing: {
    number: 1009,
    httpStatus: 400,
    ran: 'no',
    summary: 'The request carries no request id.',
    action: 'Send a fresh id with each request.',
  },
  headTooLarge: {
    number: 1010,
    httpStatus: 431,
    ran: 'no',
    summary: 'The head of the request exceeds the declared limit.',
    action: 'Send fewer or shorter headers.',
  },
  unknownRoute: {
    number: 1011,
    httpStatus: 404,
    ran: 'no',
    summary: 'No route matches the host and path.',
    action: 'Ask the operator which hosts and paths are declared.',
  },
  unknownKey: {
    number: 1012,
    httpStatus: 401,
    ran: 'no',
    summary: 'The key is missing or belongs to no organisation.',
    action: 'Send a key that the operator declared.',
  },
  targetUnreachable: {
    number: 2001,
    httpStatus: 503,
    ran: 'no',
    summary: 'The class target can no longer be met under the present load.',
    action: 'Retry after the time in the retry-after header.',
  },
  organisationLimit: {
    number: 2002,
    httpStatus: 429,
    ran: 'no',
    summary: 'The organisation has used its limit.',
    action: 'Retry after the time in the retry-after header.',
  },
  queueWaitExceeded: {
    number: 2003,
    httpStatus: 503,
    ran: 'no',
    summary: 'The request waited in the queue up to the bound of its class.',
    action: 'Retry after the time in the retry-after header.',
  },
  instanceLeaving: {
    number: 2004,
    httpStatus: 503,
    ran: 'no',
    summary: 'This instance is stopping and takes no new requests.',
    action: 'Ask GET /v1/addresses and use another instance.',
  },
  noBackendServer: {
    number: 2005,
    httpStatus: 503,
    ran: 'no',
    summary: 'No backend server can take the request at present.',
    action: 'Retry after the time in the retry-after header.',
  },
  callerLeft: {
    number: 2006,
    httpStatus: 499,
    ran: 'maybe',
    summary: 'The caller closed the connection before the answer ended.',
    action: 'None; the work was cancelled at the backend server.',
  },
  overloaded: {
    number: 2007,
    httpStatus: 503,
    ran: 'no',
    summary: 'The prediction says that the request would miss its target.',
    action: 'Come back after the time in Retry-After.',
  },
  noRoutingKnown: {
    number: 2008,
    httpStatus: 503,
    ran: 'no',
    summary: 'The instance knows no routing configuration yet.',
    action: 'Ask another instance or come back shortly.',
  },
  viewOutdated: {
    number: 2009,
    httpStatus: 503,
    ran: 'no',
    summary:
      'Other instances may know more of configuration and backend servers than this one.',
    action: 'Ask another instance.',
  },
  crashesBackends: {
    number: 2010,
    httpStatus: 503,
    ran: 'no',
    summary:
      'Several backend servers crashed while they ran this request, or others with one part of its prompt.',
    action:
      'Change the request or that part of its prompt, or wait for the time in Retry-After.',
  },
  streamVersionUnknown: {
    number: 2011,
    httpStatus: 503,
    ran: 'no',
    summary:
      'It is not known at which software version the stream began that the request continues.',
    action:
      'Name the request that brought the first event, or send it anew without a last event id.',
  },
  streamVersionGone: {
    number: 2012,
    httpStatus: 503,
    ran: 'no',
    summary:
      'No backend server has the software version that began the stream any more.',
    action: 'Send the request anew without a last event id.',
  },
  memoryFull: {
    number: 2013,
    httpStatus: 503,
    ran: 'no',
    summary: 'The bodies of other requests leave no memory for this one.',
    action: 'Come back after the time in Retry-After.',
  },
  notSentInTime: {
    number: 2014,
    httpStatus: 503,
    ran: 'no',
    summary: 'The time limit of the request passed before it could be sent.',
    action: 'Come back with a new time limit.',
  },
  backendNotRun: {
    number: 3001,
    httpStatus: 502,
    ran: 'no',
    summary: 'The backend server certainly did not start the request.',
    action: 'Retry at once; the request did not run.',
  },
  backendMaybeRan: {
    number: 3002,
    httpStatus: 502,
    ran: 'maybe',
    summary: 'The backend server failed after the request was sent.',
    action: 'Check the outcome before sending a non-idempotent request again.',
  },
  streamCut: {
    number: 3003,
    httpStatus: 502,
    ran: 'yes',
    summary: 'The answer broke off and could not be resumed.',
    action: 'Send the request again.',
  },
  duplicateInProgress: {
    number: 3004,
    httpStatus: 409,
    ran: 'maybe',
    summary:
      'A request with this idempotency key was claimed and has no result.',
    action: 'Ask again later with the same key.',
  },
  duplicateAlreadyRan: {
    number: 3005,
    httpStatus: 409,
    ran: 'yes',
    summary: 'A request with this idempotency key already ran.',
    action: 'Do not send it again; its stored result was too large to keep.',
  },
  claimUnavailable: {
    number: 3006,
    httpStatus: 503,
    ran: 'no',
    summary: 'The claim for a non-idempotent request could not be recorded.',
    action: 'Retry with the same key after the time in retry-after.',
  },
  backendTimeout: {
    number: 3007,
    httpStatus: 504,
    ran: 'maybe',
    summary: 'The backend server did not finish within the time limit.',
    action: 'Repeat only what is idempotent.',
  },
  configInvalid: {
    number: 4001,
    httpStatus: 400,
    ran: 'no',
    summary: 'The settings or the declared entity have faults.',
    action: 'Correct each listed fault.',
  },
  changeConflict: {
    number: 4002,
    httpStatus: 409,
    ran: 'no',
    summary: 'Another operator changed the entity first.',
    action: 'Read the other change in the message, then decide again.',
  },
  entityNotFound: {
    number: 4003,
    httpStatus: 404,
    ran: 'no',
    summary: 'The named entity is not declared.',
    action: 'List the declared entities.',
  },
  platformUnavailable: {
    number: 4004,
    httpStatus: 503,
    ran: 'maybe',
    summary: 'The table store did not answer.',
    action: 'Repeat the call with the same change id.',
  },
  operatorUnknown: {
    number: 4005,
    httpStatus: 401,
    ran: 'no',
    summary: 'The operator token is missing or not in the settings.',
    action: 'Pass --token or set the token in the operator settings.',
  },
  noConfiguration: {
    number: 4006,
    httpStatus: 503,
    ran: 'no',
    summary: 'The instance found no configuration in table, peers or snapshot.',
    action: 'Wait for the platform or start another instance first.',
  },
  internal: {
    number: 5001,
    httpStatus: 500,
    ran: 'maybe',
    summary: 'An unexpected fault inside the instance.',
    action: 'Report the request id to the maintainers.',
  },
  internalNotRun: {
    number: 5002,
    httpStatus: 503,
    ran: 'no',
    summary: 'An unexpected fault inside the instance before the request ran.',
    action: 'Retry at another instance.',
  },
} as const satisfies Readonly<Record<string, ResultCode>>;

export type ResultCodeId = keyof typeof RESULT_CODES;
