import type { RequestId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { CallerDialect } from '../../src/ports/CallerDialect.js';
import { headerValue } from '../../src/util/headers.js';

const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
const FORWARDED: readonly string[] = ['content-type', 'x-id', 'x-stamp'];

/** Names of headers that the gateway's tests use. */
export const plainDialect: CallerDialect = {
  readRequest: raw => ({
    id: brand<RequestId>(headerValue(raw, 'x-id') ?? ''),
    key: null,
    timeLeftMs: null,
    prompt: null,
    lastEventId: headerValue(raw, 'last-event-id') ?? null,
    firstRequest: null,
  }),
  toBackendHeaders: (raw, { host, lastEventId }) => [
    ...['host', host, 'x-id', headerValue(raw, 'x-id') ?? ''],
    ...(lastEventId === null ? [] : ['last-event-id', lastEventId]),
  ],
  readResponse: (status, raw) => ({
    requestId: headerValue(raw, 'x-id') ?? null,
    hasExecutionStamp: headerValue(raw, 'x-stamp') !== undefined,
    notRun: headerValue(raw, 'x-not-run') !== undefined,
    isContradictory: false,
    promisesNotRun: NOT_RUN_STATUSES.includes(status),
    hasContentCoding: false,
    load: null,
    limitPerS: null,
    pauseMs: null,
    isLeaving: false,
  }),
  promisesNotRun: status => NOT_RUN_STATUSES.includes(status),
  toCallerHeaders: raw =>
    FORWARDED.flatMap(name => {
      const value = headerValue(raw, name);
      return value === undefined ? [] : [name, value];
    }),
  gatewayResponseHeaders: id => (id === null ? [] : ['x-id', id]),
};
