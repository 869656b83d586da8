import { describe } from '@jujubecroft/testing';

import {
  configuration,
  engine,
  requestClass,
  RouterFixture,
} from './helpers/RouterFixture.js';

const BROKEN = { ran: 'maybe', reason: 'broken' } as const;
const REFUSED = { ran: 'no', reason: 'refused' } as const;

describe('Router', suite => {
  suite.describe('failed attempts', ({ it }) => {
    // Guards against a response that stops in the middle because its engine crashed. The
    // instance knows the five delivered tokens and has to resume after them.
    it('resumes a cut stream on another server after the delivered tokens', t => {
      const fixture = new RouterFixture();
      const id = fixture.submit();
      const first = fixture.attemptOf(id);
      fixture.router.onTokens(id, first.number, 5);
      fixture.router.onFailed(id, first.number, BROKEN);
      const second = fixture.attemptOf(id);
      t.is(second.resumeFrom, 5);
      t.not(second.backendServer, first.backendServer);
      t.deepEqual(fixture.refused, []);
    });

    // Guards against tokens that a caller gets twice: the first engine was only slow, and
    // its tokens arrive after the stream was resumed on another one.
    it('ignores tokens of a superseded attempt', t => {
      const fixture = new RouterFixture();
      const id = fixture.submit();
      const first = fixture.attemptOf(id);
      fixture.router.onFailed(id, first.number, BROKEN);
      t.false(fixture.router.onTokens(id, first.number, 1));
      t.false(fixture.router.onFinished(id, first.number));
      t.true(fixture.router.onTokens(id, fixture.attemptOf(id).number, 1));
    });

    // Guards against "not run" for a request that may have run in an attempt before: only
    // the last attempt was refused.
    it('does not end a request as not run whose earlier attempt may have run', t => {
      const engines = Array.from({ length: 20 }, (_, n) => engine(`e${n}`));
      const fixture = new RouterFixture(
        configuration({ backendServers: engines }),
      );
      const id = fixture.submit();
      fixture.router.onFailed(id, fixture.attemptOf(id).number, BROKEN);
      while (fixture.refused.length === 0) {
        fixture.router.onFailed(id, fixture.attemptOf(id).number, REFUSED);
      }
      t.deepEqual(
        fixture.refused.map(({ refusal }) => refusal.code),
        ['backendMaybeRan'],
      );
    });

    it('does not refuse a waiting request as not run whose earlier attempt may have run', t => {
      const fixture = new RouterFixture(
        configuration({ backendServers: [engine('e1')] }),
      );
      const id = fixture.submit();
      fixture.router.onFailed(id, fixture.attemptOf(id).number, BROKEN);
      fixture.router.configure(
        configuration({ revision: 2, backendServers: [] }),
      );
      fixture.advance(60_000);
      t.deepEqual(
        fixture.refused.map(({ refusal }) => refusal.code),
        ['backendMaybeRan'],
      );
    });

    const cases = [
      {
        name: 'idempotent, maybe ran',
        cls: 'gold',
        failure: BROKEN,
        again: true,
      },
      {
        name: 'idempotent, not run',
        cls: 'gold',
        failure: REFUSED,
        again: true,
      },
      {
        name: 'non-idempotent, not run',
        cls: 'once',
        failure: REFUSED,
        again: true,
      },
      {
        name: 'non-idempotent, maybe ran',
        cls: 'once',
        failure: BROKEN,
        again: false,
      },
    ] as const;
    cases.forEach(({ name, cls, failure, again }) => {
      // Guards against a non-idempotent request that runs twice, because it was sent again
      // after its connection broke although it had run.
      it(`${again ? 'retries' : 'refuses'} a failed request: ${name}`, t => {
        const fixture = new RouterFixture();
        const id = fixture.submit(cls);
        fixture.router.onFailed(id, fixture.attemptOf(id).number, failure);
        t.is(fixture.dispatched.length, again ? 2 : 1);
        t.deepEqual(
          fixture.refused.map(({ refusal }) => refusal.code),
          again ? [] : ['backendMaybeRan'],
        );
      });
    });

    // Guards against a request that fails although an engine is free: nine of ten engines
    // are down after a power cut, and the first four failed attempts ended the request.
    it('reaches the one healthy server among many that are down', t => {
      const names = Array.from({ length: 10 }, (_, index) => `e${index}`);
      const backendServers = names.map(name => engine(name));
      const fixture = new RouterFixture(configuration({ backendServers }));
      const id = fixture.submit();
      names.forEach(() => {
        const { backendServer, number } = fixture.attemptOf(id);
        if (backendServer !== 'e7') {
          fixture.router.onFailed(id, number, REFUSED);
        }
      });
      t.is(String(fixture.attemptOf(id).backendServer), 'e7');
      t.deepEqual(fixture.refused, []);
    });

    // Guards against the outage of one engine overloading the others: every failure
    // caused three more calls. The budget per class limits the load that retries add.
    it('does not retry when the retry budget of the class is used up', t => {
      const fixture = new RouterFixture();
      fixture.router.board.retryCredits.set(requestClass('gold', 1).id, 0);
      const id = fixture.submit();
      fixture.router.board.retryCredits.set(requestClass('gold', 1).id, 0);
      fixture.router.onFailed(id, fixture.attemptOf(id).number, BROKEN);
      t.is(fixture.dispatched.length, 1);
      t.is(fixture.refused[0]?.refusal.code, 'backendMaybeRan');
    });

    // Guards against a stream that stops for good while new requests work: its connection
    // lost its state on the network path but stays open.
    it('resumes a silent stream on another server', t => {
      const fixture = new RouterFixture();
      const id = fixture.submit();
      const first = fixture.attemptOf(id);
      fixture.router.onTokens(id, first.number, 3);
      fixture.advance(1000);
      t.is(fixture.cancelled[0]?.attempt.number, first.number);
      t.is(fixture.attemptOf(id).resumeFrom, 3);
    });

    // Guards against new requests that keep failing on a crashed engine because it has
    // the fewest requests in flight.
    it('avoids a failed server, counting concurrent failures as one incident', t => {
      const fixture = new RouterFixture();
      const ids = [fixture.submit(), fixture.submit(), fixture.submit()];
      const target = fixture.attemptOf(
        ids[0] ?? fixture.submit(),
      ).backendServer;
      ids
        .filter(id => fixture.attemptOf(id).backendServer === target)
        .forEach(id => {
          fixture.router.onFailed(id, fixture.attemptOf(id).number, REFUSED);
        });
      t.is(fixture.router.board.backends.get(target)?.consecutiveFailures, 1);
      const next = fixture.submit();
      t.not(fixture.attemptOf(next).backendServer, target);
    });
  });

  suite.describe('shedding', ({ it }) => {
    // Guards against an urgent request that is refused while less urgent ones are served:
    // with all slots in use, it has to wait and get the next free slot.
    it('keeps a waiting tier-1 request and serves it first', t => {
      const fixture = new RouterFixture();
      const running = fixture.fill('bronze');
      fixture.submit('bronze');
      const gold = Array.from({ length: 10 }, () => fixture.submit('gold'));
      const queued = gold.filter(
        id => !fixture.dispatched.some(sent => sent.id === id),
      );
      t.true(queued.length > 0);
      running.slice(0, 8).forEach(id => {
        fixture.finish(id, 50);
      });
      t.true(queued.every(id => fixture.dispatched.some(s => s.id === id)));
      t.deepEqual(
        fixture.refused.filter(({ id }) => gold.includes(id)),
        [],
      );
    });

    it('refuses requests at once, with a retry-after, if their target is unreachable', t => {
      const fixture = new RouterFixture();
      fixture.fill('silver');
      Array.from({ length: 200 }, () => fixture.submit('silver'));
      const shed = fixture.refused.filter(
        ({ refusal }) => refusal.code === 'targetUnreachable',
      );
      t.true(shed.length > 0);
      t.true(shed.every(({ refusal }) => refusal.retryAfterMs >= 1000));
    });

    it('refuses queued requests whose maximum wait has passed, without dispatch', t => {
      const fixture = new RouterFixture();
      fixture.fill('gold');
      const waiting = Array.from({ length: 8 }, () => fixture.submit('gold'));
      const queued = waiting.filter(
        id => !fixture.dispatched.some(sent => sent.id === id),
      );
      fixture.dispatched.forEach(({ id, attempt }) => {
        fixture.router.onTokens(id, attempt.number, 1);
      });
      fixture.nowMs += 2001;
      fixture.router.tick();
      const late = fixture.refused.filter(
        ({ refusal }) => refusal.code === 'queueWaitExceeded',
      );
      t.deepEqual(late.map(({ id }) => id).sort(), [...queued].sort());
    });
  });

  suite.describe('leaving and configuration', ({ it }) => {
    it('dispatches no new requests to a leaving server', t => {
      const fixture = new RouterFixture();
      const cfg = configuration();
      fixture.router.configure({
        ...cfg,
        revision: 2,
        backendServers: [
          engine('e1', { leaving: true }),
          engine('e2', { leaving: true }),
          engine('e3'),
        ],
      });
      fixture.submit();
      fixture.submit();
      t.deepEqual(
        fixture.dispatched.map(({ attempt }) => String(attempt.backendServer)),
        ['e3', 'e3'],
      );
    });

    // Guards against a drained engine that gets requests again: a peer that was cut off for
    // an hour answers with an outdated configuration.
    it('does not revert to an older configuration', t => {
      const fixture = new RouterFixture();
      const cfg = configuration();
      t.true(fixture.router.configure({ ...cfg, revision: 5 }));
      t.false(fixture.router.configure({ ...cfg, revision: 4 }));
      t.false(fixture.router.configure({ ...cfg, revision: 5 }));
      t.is(fixture.router.board.cfg.revision, 5);
    });

    it('cancels the attempt when the caller disconnects', t => {
      const fixture = new RouterFixture();
      const id = fixture.submit();
      fixture.router.onCallerLeft(id);
      t.is(fixture.cancelled.length, 1);
      t.is(fixture.router.board.requests.size, 0);
      const views = [...fixture.router.board.backends.values()];
      t.true(views.every(({ inFlight }) => inFlight === 0));
    });
  });

  suite.describe('decision events', ({ it }) => {
    it('publishes each decision with the values that it is based on', t => {
      const fixture = new RouterFixture();
      const id = fixture.submit();
      fixture.finish(id, 3);
      t.deepEqual(
        fixture.decisions.map(({ decision }) => decision.kind),
        ['admitted', 'queued', 'routed', 'finished'],
      );
      const candidates = fixture.decisions.flatMap(({ decision }) =>
        decision.kind === 'routed' ? decision.candidates : [],
      );
      t.is(candidates.length, 3);
    });
  });
});
