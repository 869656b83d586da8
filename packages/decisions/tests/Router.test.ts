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
    it('resumes a cut stream elsewhere from the delivered tokens', t => {
      // A chef sees an answer stop in the middle. The engine crashed after five
      // tokens; the instance knows them and must go on behind them elsewhere.
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

    it('ignores tokens of an attempt that was superseded', t => {
      // A caller gets tokens twice. The old engine was only slow, its tokens
      // arrive after the stream went on elsewhere: late answers must not mix.
      const fixture = new RouterFixture();
      const id = fixture.submit();
      const first = fixture.attemptOf(id);
      fixture.router.onFailed(id, first.number, BROKEN);
      t.false(fixture.router.onTokens(id, first.number, 1));
      t.false(fixture.router.onFinished(id, first.number));
      t.true(fixture.router.onTokens(id, fixture.attemptOf(id).number, 1));
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
      { name: 'once, not run', cls: 'once', failure: REFUSED, again: true },
      { name: 'once, maybe ran', cls: 'once', failure: BROKEN, again: false },
    ] as const;
    cases.forEach(({ name, cls, failure, again }) => {
      it(`${again ? 'sends again' : 'refuses'}: ${name}`, t => {
        // A price is changed twice at the shop. The connection broke after the
        // call was sent, and it was sent again although it had run.
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

    it('finds the one healthy server among many that are down', t => {
      // A costing is refused although an engine is free. A power cut took nine
      // of ten engines, and the first four that were tried ended the request.
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

    it('stops retrying when the budget of the class is spent', t => {
      // An outage of one engine becomes an outage of all: every failure causes
      // three more calls. The budget per class bounds what retries may add.
      const fixture = new RouterFixture();
      fixture.router.board.retryCredits.set(requestClass('gold', 1).id, 0);
      const id = fixture.submit();
      fixture.router.board.retryCredits.set(requestClass('gold', 1).id, 0);
      fixture.router.onFailed(id, fixture.attemptOf(id).number, BROKEN);
      t.is(fixture.dispatched.length, 1);
      t.is(fixture.refused[0]?.refusal.code, 'backendMaybeRan');
    });

    it('moves a silent stream to another server', t => {
      // A tablet shows a draft that stops growing while new requests work. The
      // connection lost its state on the way and stays open for good.
      const fixture = new RouterFixture();
      const id = fixture.submit();
      const first = fixture.attemptOf(id);
      fixture.router.onTokens(id, first.number, 3);
      fixture.advance(1000);
      t.is(fixture.cancelled[0]?.attempt.number, first.number);
      t.is(fixture.attemptOf(id).resumeFrom, 3);
    });

    it('avoids a failed server for a while, once per incident', t => {
      // New work keeps failing at a crashed engine, because it is the emptiest.
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
    it('keeps a waiting tier-1 request and serves it first', t => {
      // A chef's costing is refused while lookups go on. It waits behind a full
      // fleet; the next free slot must be its own.
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

    it('refuses at once with a retry-after when the target is out of reach', t => {
      const fixture = new RouterFixture();
      fixture.fill('silver');
      Array.from({ length: 200 }, () => fixture.submit('silver'));
      const shed = fixture.refused.filter(
        ({ refusal }) => refusal.code === 'targetUnreachable',
      );
      t.true(shed.length > 0);
      t.true(shed.every(({ refusal }) => refusal.retryAfterMs >= 1000));
    });

    it('drops queued work when its bound has passed, before it costs anything', t => {
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

  suite.describe('leaving', ({ it }) => {
    it('gives a leaving server no new work', t => {
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

    it('never goes back to an older configuration', t => {
      // A drained engine gets work again. A peer that was cut off for an hour
      // answers with the configuration it still holds.
      const fixture = new RouterFixture();
      const cfg = configuration();
      t.true(fixture.router.configure({ ...cfg, revision: 5 }));
      t.false(fixture.router.configure({ ...cfg, revision: 4 }));
      t.false(fixture.router.configure({ ...cfg, revision: 5 }));
      t.is(fixture.router.board.cfg.revision, 5);
    });

    it('cancels at the engine when the caller goes', t => {
      const fixture = new RouterFixture();
      const id = fixture.submit();
      fixture.router.onCallerLeft(id);
      t.is(fixture.cancelled.length, 1);
      t.is(fixture.router.board.requests.size, 0);
      const views = [...fixture.router.board.backends.values()];
      t.true(views.every(({ inFlight }) => inFlight === 0));
    });
  });

  suite.describe('explanations', ({ it }) => {
    it('tells each decision with the numbers it was made from', t => {
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
