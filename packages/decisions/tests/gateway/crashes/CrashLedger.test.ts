import type {
  BackendServerId,
  InstanceId,
  RequestFingerprint,
} from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import { CrashLedger } from '../../../src/index.js';
import type { ManualClock } from '../helpers/gatewayFixture.js';
import { manualClock } from '../helpers/gatewayFixture.js';

const CONTENT = brand<RequestFingerprint>('aaaaaaaaaaaaaaaa');
const OTHER = brand<RequestFingerprint>('bbbbbbbbbbbbbbbb');
const TEN_MINUTES_MS = 600_000;
/** Longer than bytes of an ended run can be in transit. */
const LATER_MS = 500;

const runOf = (name: string, bornMs: number | null = null) => ({
  id: brand<BackendServerId>(name),
  bornMs,
});

interface Fixture {
  readonly clock: ManualClock;
  readonly ledger: CrashLedger;
  /** Loses a request at several replicas, one second apart. */
  readonly lose: (content: RequestFingerprint, ...names: string[]) => void;
}

function fixture(): Fixture {
  const clock = manualClock();
  const ledger = new CrashLedger(clock.now, brand<InstanceId>('i-1'), () => 12);
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
    it('that was lost when three replicas crashed', t => {
      const { ledger, lose } = fixture();
      lose(CONTENT, 'a', 'b');
      t.deepEqual(ledger.barred, []);
      lose(CONTENT, 'c');
      t.deepEqual(ledger.barred, [CONTENT]);
      t.deepEqual(ledger.crashesOf(CONTENT), ['a', 'b', 'c']);
    });

    it('by the number of runs, not of replicas or attempts', t => {
      const { ledger } = fixture();
      [1, 1, 1, 2].forEach(bornMs => {
        ledger.onLost(runOf('a', bornMs), CONTENT);
      });
      t.is(ledger.crashesOf(CONTENT).length, 2);
      ledger.onLost(runOf('a', 3), CONTENT);
      t.deepEqual(ledger.barred, [CONTENT]);
    });

    it('for ten minutes, and for longer after another crash', t => {
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

  group('counts no crash against a request', ({ it }) => {
    it('that was served between crashes', t => {
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
      t.is(
        ledger.crashesOf(CONTENT).length,
        1,
        'these bytes may have been sent before the end',
      );
      clock.advance(LATER_MS);
      ledger.onBytes(runOf('a', 2));
      t.is(
        ledger.crashesOf(CONTENT).length,
        1,
        'these bytes are of another run',
      );
      ledger.onBytes(runOf('a', 1));
      t.true(ledger.isEmpty);
    });

    it('with other content than the lost one', t => {
      const { ledger, lose } = fixture();
      lose(CONTENT, 'a', 'b', 'c');
      t.deepEqual(ledger.crashesOf(OTHER), []);
    });
  });

  // Guards against clearing a request whose answer seemed complete because its replica
  // crashed, or suspecting one for ever whose answers are never delimited otherwise.
  group('keeps answers that ended with their connection', ({ it }) => {
    const suspect = { content: CONTENT, parts: [] };

    it('as suspects if another instance reports that the run ended', t => {
      const [here, there] = [fixture(), fixture()];
      here.ledger.onUnproven(runOf('a'), suspect);
      there.ledger.onLost(runOf('a'), OTHER);
      here.ledger.onPeer(there.ledger.news);
      t.deepEqual(here.ledger.crashesOf(CONTENT), ['a']);
    });

    it('as suspects if the replica cannot be reached afterwards', t => {
      const { ledger } = fixture();
      ledger.onUnproven(runOf('a'), suspect);
      ledger.onUnreachable(runOf('a'));
      t.deepEqual(ledger.crashesOf(CONTENT), ['a']);
    });

    it('as served if the run answers again', t => {
      const { ledger, clock, lose } = fixture();
      ledger.onUnproven(runOf('a'), suspect);
      clock.advance(LATER_MS);
      ledger.onBytes(runOf('a'));
      lose(CONTENT, 'b', 'c', 'd');
      t.deepEqual(ledger.crashesOf(CONTENT), []);
    });
  });

  group('informs other instances', ({ it }) => {
    it('of several crashes although each instance saw only one', t => {
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

    it('of a barred content long after the crashes, in a small message', t => {
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

    it('that a run continues after all', t => {
      const [here, there] = [fixture(), fixture()];
      here.ledger.onLost(runOf('a'), CONTENT);
      there.ledger.onPeer(here.ledger.news);
      there.clock.advance(LATER_MS);
      there.ledger.onBytes(runOf('a'));
      here.ledger.onPeer(there.ledger.news);
      t.true(here.ledger.isEmpty);
    });

    it('at once of a second loss, but not of a report that it already received', t => {
      const [here, there] = [fixture(), fixture()];
      let announcements = 0;
      there.ledger.onChange(() => {
        announcements += 1;
      });
      here.lose(CONTENT, 'a');
      there.ledger.onPeer(here.ledger.news);
      t.is(
        announcements,
        0,
        'a first loss is sent with the next regular message',
      );
      here.lose(CONTENT, 'b');
      there.ledger.onPeer(here.ledger.news);
      there.ledger.onPeer(here.ledger.news);
      t.is(announcements, 1);
    });
  });

  group('limits the number', ({ it }) => {
    it('of crashes and of suspects of each crash', t => {
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
