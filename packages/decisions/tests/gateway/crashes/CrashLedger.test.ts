import type { BackendServerId, RequestFingerprint } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import { CrashLedger } from '../../../src/index.js';
import type { ManualClock } from '../helpers/gatewayFixture.js';
import { manualClock } from '../helpers/gatewayFixture.js';

const CONTENT = brand<RequestFingerprint>('aaaaaaaaaaaaaaaa');
const OTHER = brand<RequestFingerprint>('bbbbbbbbbbbbbbbb');
const TEN_MINUTES_MS = 600_000;
/** Longer than bytes of an earlier run can be under way. */
const LATER_MS = 500;

const runOf = (name: string, bornMs: number | null = null) => ({
  id: brand<BackendServerId>(name),
  bornMs,
});

interface Fixture {
  readonly clock: ManualClock;
  readonly ledger: CrashLedger;
  /** Loses a request at several replicas, a second apart. */
  readonly lose: (content: RequestFingerprint, ...names: string[]) => void;
}

function fixture(): Fixture {
  const clock = manualClock();
  const ledger = new CrashLedger(clock.now);
  return {
    clock,
    ledger,
    lose: (content, ...names) => {
      names.forEach(name => {
        ledger.onLost(runOf(name), content);
        clock.advance(1000);
      });
    },
  };
}

describe('CrashLedger', ({ describe: group }) => {
  group('bars a request', ({ it }) => {
    it('that was lost where three replicas crashed', t => {
      const { ledger, lose } = fixture();
      lose(CONTENT, 'a', 'b');
      t.deepEqual(ledger.barred, []);
      lose(CONTENT, 'c');
      t.deepEqual(ledger.barred, [CONTENT]);
      t.deepEqual(ledger.crashesOf(CONTENT), ['a', 'b', 'c']);
    });

    it('by runs and not by replicas or attempts', t => {
      const { ledger } = fixture();
      [1, 1, 1, 2].forEach(bornMs => {
        ledger.onLost(runOf('a', bornMs), CONTENT);
      });
      t.is(ledger.crashesOf(CONTENT).length, 2);
      ledger.onLost(runOf('a', 3), CONTENT);
      t.deepEqual(ledger.barred, [CONTENT]);
    });

    it('for ten minutes, and for longer after one more crash', t => {
      const { ledger, clock, lose } = fixture();
      lose(CONTENT, 'a', 'b', 'c');
      const waitMs = ledger.barredForMs(CONTENT);
      t.is(waitMs, TEN_MINUTES_MS - 1000);
      clock.advance(waitMs);
      t.deepEqual(ledger.barred, []);
      t.is(ledger.crashesOf(CONTENT).length, 2);
      lose(CONTENT, 'd');
      t.deepEqual(ledger.barred, [CONTENT]);
      t.is(ledger.barredForMs(CONTENT), 2 * TEN_MINUTES_MS - 1000);
    });
  });

  group('holds nothing against a request', ({ it }) => {
    it('that was served between the crashes', t => {
      const { ledger, lose } = fixture();
      lose(CONTENT, 'a', 'b');
      ledger.onServed(CONTENT);
      lose(CONTENT, 'c', 'd');
      t.deepEqual(ledger.crashesOf(CONTENT), []);
    });

    it('that another instance has served', t => {
      const [here, there] = [fixture(), fixture()];
      there.ledger.onServed(CONTENT);
      here.lose(CONTENT, 'a', 'b', 'c');
      there.ledger.onPeer(here.ledger.news);
      here.ledger.onPeer(there.ledger.news);
      t.deepEqual(here.ledger.crashesOf(CONTENT), []);
      t.deepEqual(there.ledger.crashesOf(CONTENT), []);
    });

    it('whose replica answers again in the same run', t => {
      const { ledger, clock } = fixture();
      ledger.onLost(runOf('a', 1), CONTENT);
      ledger.onBytes(runOf('a', 1));
      t.is(ledger.crashesOf(CONTENT).length, 1, 'bytes from before the end');
      clock.advance(LATER_MS);
      ledger.onBytes(runOf('a', 2));
      t.is(ledger.crashesOf(CONTENT).length, 1, 'bytes of another run');
      ledger.onBytes(runOf('a', 1));
      t.true(ledger.isEmpty);
    });

    it('that is not its own', t => {
      const { ledger, lose } = fixture();
      lose(CONTENT, 'a', 'b', 'c');
      t.deepEqual(ledger.crashesOf(OTHER), []);
    });
  });

  group('tells others', ({ it }) => {
    it('of crashes that each saw one of', t => {
      const instances = ['a', 'b', 'c'].map(name => {
        const one = fixture();
        one.lose(CONTENT, name);
        return one.ledger;
      });
      const newcomer = fixture().ledger;
      instances.forEach(({ news }) => {
        newcomer.onPeer(news);
      });
      t.deepEqual(newcomer.barred, [CONTENT]);
    });

    it('of what is barred long after, in few bytes', t => {
      const { ledger, clock, lose } = fixture();
      lose(CONTENT, 'a', 'b', 'c');
      for (let other = 0; other < 200; other += 1) {
        ledger.onLost(
          runOf('a'),
          brand<RequestFingerprint>(other.toString(16).padStart(16, '0')),
        );
      }
      clock.advance(60_000);
      const newcomer = fixture().ledger;
      const { news } = ledger;
      t.true(news.crashes.flatMap(({ suspects }) => suspects).length <= 20);
      newcomer.onPeer(news);
      t.deepEqual(newcomer.barred, [CONTENT]);
    });

    it('that a run goes on after all', t => {
      const [here, there] = [fixture(), fixture()];
      here.ledger.onLost(runOf('a'), CONTENT);
      there.ledger.onPeer(here.ledger.news);
      there.clock.advance(LATER_MS);
      there.ledger.onBytes(runOf('a'));
      here.ledger.onPeer(there.ledger.news);
      t.true(here.ledger.isEmpty);
    });

    it('once, and not again what it has heard', t => {
      const [here, there] = [fixture(), fixture()];
      let told = 0;
      there.ledger.onNews(() => {
        told += 1;
      });
      here.lose(CONTENT, 'a');
      there.ledger.onPeer(here.ledger.news);
      t.is(told, 0, 'what was lost once is told with the next message');
      here.lose(CONTENT, 'b');
      there.ledger.onPeer(here.ledger.news);
      there.ledger.onPeer(here.ledger.news);
      t.is(told, 1);
    });
  });

  group('is bounded', ({ it }) => {
    it('in crashes and in what each of them holds', t => {
      const { ledger } = fixture();
      for (let run = 0; run < 1000; run += 1) {
        ledger.onLost(runOf(`s-${run}`), CONTENT);
      }
      t.is(ledger.crashesOf(CONTENT).length, 256);
      for (let other = 0; other < 1000; other += 1) {
        const content = other.toString(16).padStart(16, '0');
        ledger.onLost(runOf('s-999'), brand<RequestFingerprint>(content));
      }
      const [crash] = ledger.news.crashes.filter(({ id }) => id === 's-999');
      t.is(crash?.suspects.length, 256);
    });
  });
});
