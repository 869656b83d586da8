import { describe } from '@jujubecroft/testing';

import {
  configuration,
  engine,
  RouterFixture,
} from './helpers/RouterFixture.js';

const REQUESTS = 300;
/** Longer than the silence after which a stream may be resumed elsewhere. */
const SILENCE_MS = 1200;
/** Longer than a sound server is silent. */
const LONG_SILENCE_MS = 3000;
const STEP_MS = 100;

/** Streams of which a third is at a server that writes nothing for a while. */
function playSilence(className: string, silenceMs: number): RouterFixture {
  const servers = ['e1', 'e2', 'e3'].map(id => engine(id, { capacity: 400 }));
  const fixture = new RouterFixture(configuration({ backendServers: servers }));
  const ids = Array.from({ length: REQUESTS }, () => fixture.submit(className));
  const first = ids.map(id => ({ id, attempt: fixture.attemptOf(id) }));
  first.forEach(({ id, attempt }) =>
    fixture.router.onTokens(id, attempt.number, 3),
  );
  const sound = first.filter(
    ({ attempt }) => String(attempt.backendServer) !== 'e1',
  );
  for (let ms = 0; ms < silenceMs; ms += STEP_MS) {
    fixture.advance(STEP_MS);
    sound.forEach(({ id, attempt }) =>
      fixture.router.onTokens(id, attempt.number, 1),
    );
  }
  return fixture;
}

describe('a server that falls silent', ({ it }) => {
  ['gold', 'once'].forEach(className => {
    // Guards against streams that are cut although their server is sound: all of its attempts
    // were cancelled at the same moment, and only some could be resumed.
    it(`loses no request of class ${className} that can't be resumed`, t => {
      const fixture = playSilence(className, SILENCE_MS);
      t.is(fixture.refused.length, 0);
    });
  });

  // Guards against requests that wait for a dead server for good.
  it('loses those that nothing can follow after a long silence', t => {
    const fixture = playSilence('once', LONG_SILENCE_MS);
    t.true(fixture.refused.length > 0);
  });

  // Guards against requests that wait although another server can resume them.
  it('has the others resumed elsewhere', t => {
    const { cancelled, dispatched } = playSilence('gold', SILENCE_MS);
    t.true(cancelled.length > 0);
    t.is(dispatched.length, REQUESTS + cancelled.length);
  });
});
