import { describe } from '@jujubecroft/testing';
import type { Replica, SoftwareVersion } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { VersionHistory } from '../../../src/gateway/streams/VersionHistory.js';
import type { ManualClock } from '../helpers/gatewayFixture.js';
import { manualClock, replica, SERVICE } from '../helpers/gatewayFixture.js';

const OLD = brand<SoftwareVersion>('v1.1');
const NEW = brand<SoftwareVersion>('v1.2');

interface History {
  readonly clock: ManualClock;
  readonly history: VersionHistory;
  /** Records a view after some time. */
  readonly after: (ms: number, ...versions: (SoftwareVersion | null)[]) => void;
  readonly removeUnseen: () => void;
}

function replicasOf(
  versions: readonly (SoftwareVersion | null)[],
): readonly Replica[] {
  return versions.map((softwareVersion, index) =>
    replica(`s-${index}`, { softwareVersion }),
  );
}

function createHistory(): History {
  const clock = manualClock();
  let removals = 0;
  const history = new VersionHistory(clock.now, () => removals);
  return {
    clock,
    history,
    after: (ms, ...versions) => {
      clock.advance(ms);
      history.observe(replicasOf(versions));
    },
    removeUnseen: () => {
      removals += 1;
    },
  };
}

describe('VersionHistory', ({ it }) => {
  it('knows the only version and for how long it has been that', t => {
    const { history, after, clock } = createHistory();
    t.is(history.soleVersion(SERVICE), null);
    after(0, OLD);
    clock.advance(700);
    t.deepEqual(history.soleVersion(SERVICE), {
      softwareVersion: OLD,
      forMs: 700,
    });
  });

  // Guards against streams of a version that has just left.
  it('counts from the moment at which the last other one was gone', t => {
    const { history, after, clock } = createHistory();
    after(0, OLD);
    after(5000, OLD, NEW);
    t.is(history.soleVersion(SERVICE), null);
    after(2000, NEW);
    clock.advance(300);
    t.deepEqual(history.soleVersion(SERVICE), {
      softwareVersion: NEW,
      forMs: 300,
    });
  });

  // Guards against an unknown version that counts as the same as another unknown one.
  it('does not count an unknown version as the only one', t => {
    const { history, after, clock } = createHistory();
    after(0, null);
    clock.advance(5000);
    t.is(history.soleVersion(SERVICE), null);
    after(0, OLD);
    t.is(history.soleVersion(SERVICE)?.forMs, 0);
  });

  // Guards against replicas that came and went between two reads.
  it('begins anew when replicas may have gone unseen', t => {
    const { history, after, clock, removeUnseen } = createHistory();
    after(0, OLD);
    clock.advance(5000);
    removeUnseen();
    t.is(history.soleVersion(SERVICE)?.forMs, 0);
    clock.advance(400);
    history.restart(replicasOf([OLD]));
    clock.advance(100);
    t.is(history.soleVersion(SERVICE)?.forMs, 100);
  });

  it('takes over the longer history of another instance', t => {
    const { history, after, clock } = createHistory();
    after(0, OLD);
    clock.advance(500);
    history.extend(SERVICE, { softwareVersion: OLD, forMs: 9000 }, 400);
    t.is(history.soleVersion(SERVICE)?.forMs, 9000);
  });

  // Guards against a history with a gap, or of another version.
  it('takes over none that does not reach its own or does not fit', t => {
    const { history, after, clock } = createHistory();
    after(0, OLD);
    clock.advance(500);
    history.extend(SERVICE, { softwareVersion: OLD, forMs: 9000 }, 600);
    history.extend(SERVICE, { softwareVersion: NEW, forMs: 9000 }, 0);
    history.extend(SERVICE, null, 0);
    t.is(history.soleVersion(SERVICE)?.forMs, 500);
    after(0, OLD, NEW);
    after(100, OLD);
    clock.advance(200);
    history.extend(SERVICE, { softwareVersion: OLD, forMs: 9000 }, 0);
    t.is(history.soleVersion(SERVICE)?.forMs, 200);
  });
});
