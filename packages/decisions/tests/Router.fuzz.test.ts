import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';
import type { RequestId } from '@jujubecroft/types';

import { RouterFixture } from './helpers/RouterFixture.js';

const CLASSES = ['gold', 'silver', 'bronze', 'once'] as const;

/** What the caller of a request has observed, recorded independently of the router. */
interface CallerView {
  readonly idempotent: boolean;
  tokens: number;
  ended: boolean;
  /** Number of attempts that may have run on a backend server. */
  mayHaveRun: number;
}

/** A router with an oracle that checks its guarantees after every event. */
class RouterWithOracle {
  readonly fixture = new RouterFixture();
  readonly seen = new Map<RequestId, CallerView>();
  /** Violated guarantees. */
  readonly faults: string[] = [];
  #checked = 0;
  #refusals = 0;

  submit(className: (typeof CLASSES)[number]): void {
    const id = this.fixture.submit(className);
    const entry: CallerView = {
      idempotent: className !== 'once',
      tokens: 0,
      ended: false,
      mayHaveRun: 0,
    };
    this.seen.set(id, entry);
    this.check();
  }

  /** Picks any attempt ever made, so that late events of old attempts occur as well. */
  attempt(pick: number) {
    const { dispatched } = this.fixture;
    return dispatched[pick % Math.max(1, dispatched.length)];
  }

  tokens(pick: number): void {
    const sent = this.attempt(pick);
    const entry = sent && this.seen.get(sent.id);
    if (sent && entry) {
      const taken = this.fixture.router.onTokens(
        sent.id,
        sent.attempt.number,
        1,
      );
      if (taken && entry.ended) {
        this.faults.push(`${sent.id}: tokens after the end`);
      }
      entry.tokens += taken ? 1 : 0;
    }
    this.check();
  }

  finish(pick: number): void {
    const sent = this.attempt(pick);
    const entry = sent && this.seen.get(sent.id);
    if (sent && entry) {
      const current = this.fixture.router.onFinished(
        sent.id,
        sent.attempt.number,
      );
      if (current && entry.ended) {
        this.faults.push(`${sent.id}: ended twice`);
      }
      entry.ended ||= current;
    }
    this.check();
  }

  fail(pick: number, ran: 'maybe' | 'no'): void {
    const sent = this.attempt(pick);
    const entry = sent && this.seen.get(sent.id);
    if (sent && entry) {
      const record = this.fixture.router.board.requests.get(sent.id);
      const isCurrent = record?.attempt?.number === sent.attempt.number;
      if (isCurrent && ran === 'no') {
        entry.mayHaveRun -= 1;
      }
      this.fixture.router.onFailed(sent.id, sent.attempt.number, {
        ran,
        reason: ran === 'no' ? 'refused' : 'broken',
      });
    }
    this.check();
  }

  leave(pick: number): void {
    const ids = [...this.seen.keys()];
    const id = ids[pick % Math.max(1, ids.length)];
    const entry = id && this.seen.get(id);
    if (id && entry) {
      this.fixture.router.onCallerLeft(id);
      entry.ended = true;
    }
    this.check();
  }

  advance(ms: number): void {
    this.fixture.advance(ms);
    this.check();
  }

  /** The oracle: compares new effects with what each caller has observed. */
  check(): void {
    const { dispatched, refused } = this.fixture;
    dispatched.slice(this.#checked).forEach(({ id, attempt }) => {
      const entry = this.seen.get(id);
      if (!entry) {
        return;
      }
      entry.mayHaveRun += 1;
      if (entry.ended) {
        this.faults.push(`${id}: sent after its end`);
      }
      if (attempt.resumeFrom !== entry.tokens) {
        this.faults.push(`${id}: resumes at ${attempt.resumeFrom}`);
      }
      if (!entry.idempotent && entry.mayHaveRun > 1) {
        this.faults.push(`${id}: non-idempotent and may run twice`);
      }
    });
    refused.slice(this.#refusals).forEach(({ id, refusal }) => {
      const entry = this.seen.get(id);
      const saysNotRun = ['queueWaitExceeded', 'backendNotRun'].includes(
        refusal.code,
      );
      if (entry && saysNotRun && !entry.idempotent && entry.mayHaveRun > 0) {
        this.faults.push(`${id}: told "not run" but may have run`);
      }
      if (entry?.ended) {
        this.faults.push(`${id}: refused after its end`);
      }
      if (entry) {
        entry.ended = true;
      }
    });
    this.#checked = dispatched.length;
    this.#refusals = refused.length;
    this.checkCounts();
  }

  /** Checks that the in-flight counts match the running requests. */
  checkCounts(): void {
    const { backends, requests } = this.fixture.router.board;
    const running = [...requests.values()].filter(r => r.state === 'running');
    const counted = [...backends.values()].reduce(
      (sum, { inFlight }) => sum + inFlight,
      0,
    );
    if (running.length !== counted) {
      this.faults.push(`${counted} in flight, ${running.length} running`);
    }
  }
}

type Step = (router: RouterWithOracle) => void;

const pick = fc.nat({ max: 200 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.constantFrom(...CLASSES).map(name => (router: RouterWithOracle) => {
    router.submit(name);
  }),
  pick.map(n => (router: RouterWithOracle) => {
    router.tokens(n);
  }),
  pick.map(n => (router: RouterWithOracle) => {
    router.finish(n);
  }),
  fc
    .tuple(pick, fc.constantFrom('maybe' as const, 'no' as const))
    .map(([n, ran]) => (router: RouterWithOracle) => {
      router.fail(n, ran);
    }),
  pick.map(n => (router: RouterWithOracle) => {
    router.leave(n);
  }),
  fc.constantFrom(100, 700, 2500).map(ms => (router: RouterWithOracle) => {
    router.advance(ms);
  }),
);

const SEED = 20_261_202;
const RUNS = 400;
const MAX_STEPS = 120;

describe('Router under any order of events', ({ it }) => {
  it('violates no guarantee that the oracle checks', t => {
    const property = fc.property(
      fc.array(step, { maxLength: MAX_STEPS }),
      steps => {
        const router = new RouterWithOracle();
        steps.forEach(run => {
          run(router);
        });
        return router.faults.length === 0;
      },
    );
    const result = fc.check(property, { seed: SEED, numRuns: RUNS });
    t.false(result.failed, fc.defaultReportMessage(result) ?? '');
  });
});
