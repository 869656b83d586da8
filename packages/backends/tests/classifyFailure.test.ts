import { describe } from '@jujubecroft/testing';

import { classifyFailure } from '../src/index.js';

const withCode = (code: string): Error =>
  Object.assign(new Error(code), { code });

/** An error of the operating system, as a connection that is open or being opened reports it. */
const during = (syscall: string, code: string): Error =>
  Object.assign(withCode(code), { message: `${syscall} ${code}`, syscall });

const CASES = [
  { err: withCode('ECONNREFUSED'), ran: 'no' },
  { err: withCode('EHOSTUNREACH'), ran: 'no' },
  { err: withCode('UND_ERR_CONNECT_TIMEOUT'), ran: 'no' },
  { err: withCode('ECONNRESET'), ran: 'maybe' },
  { err: withCode('EPIPE'), ran: 'maybe' },
  { err: withCode('UND_ERR_SOCKET'), ran: 'maybe' },
  { err: new Error('anything'), ran: 'maybe' },
  { err: 'a string', ran: 'maybe' },
  { err: null, ran: 'maybe' },
  { err: during('connect', 'ECONNREFUSED'), ran: 'no' },
  { err: during('connect', 'EHOSTUNREACH'), ran: 'no' },
  { err: during('read', 'EHOSTUNREACH'), ran: 'maybe' },
  { err: during('write', 'ENETUNREACH'), ran: 'maybe' },
] as const;

describe('classifyFailure', ({ it }) => {
  CASES.forEach(({ err, ran }, index) => {
    it(`classifies an attempt as ran "${ran}" for error ${index}: ${String(err)}`, t => {
      // Guards against a request that runs twice because a reset connection was taken
      // for a refused one. Only a refused connection proves that nothing ran.
      t.is(classifyFailure(err).ran, ran);
    });
  });
});
