import { describe } from '@jujubecroft/testing';
import type { Replica } from '@jujubecroft/types';
import { toStoreVersion } from '@jujubecroft/types';

import { ReplicaRegistry } from '../../src/index.js';
import type { ManualClock } from './helpers/gatewayFixture.js';
import {
  manualClock,
  replica,
  storeClockOn,
} from './helpers/gatewayFixture.js';

const RUN = replica('a', { bornMs: 5 });
const OTHER = replica('b', { bornMs: 5 });
/** Longer than a restored store may list a replica that has left. */
const HOLD_MS = 5000;

interface Row {
  readonly replica: Replica;
  readonly version: number;
}

/** A registry that has read an entry under version 20 of the first era. */
function registryOf(clock: ManualClock, rows: readonly Row[]): ReplicaRegistry {
  const registry = new ReplicaRegistry(storeClockOn(clock));
  registry.applySnapshot(rowsOf(1, rows), toStoreVersion(1, 20), 0);
  return registry;
}

function rowsOf(era: number, rows: readonly Row[]) {
  return rows.map(row => ({
    id: row.replica.id,
    rowVersion: toStoreVersion(era, row.version),
    replica: row.replica,
  }));
}

/** Reads a store of the second era that was restored at version 10. */
function restore(registry: ReplicaRegistry, rows: readonly Row[]): void {
  registry.applySnapshot(rowsOf(2, rows), toStoreVersion(2, 10), 0);
}

const isUsable = (registry: ReplicaRegistry, { id }: Replica): boolean =>
  registry.find(id)?.leaving === false;

// Guards against entries of a restored store that undo leaves, and against replicas that
// are dropped because the copy is older than their entries.
describe('ReplicaRegistry, after the store was restored from a copy', ({
  it,
}) => {
  it('keeps the leave of a run that the copy lists as ready', t => {
    const clock = manualClock();
    const leaving = { ...RUN, leaving: true };
    const registry = registryOf(clock, [{ replica: leaving, version: 15 }]);
    restore(registry, [{ replica: RUN, version: 3 }]);
    t.false(isUsable(registry, RUN));
    clock.advance(10 * HOLD_MS);
    registry.tick();
    t.false(isUsable(registry, RUN));
    restore(registry, [{ replica: { ...RUN, bornMs: 6 }, version: 12 }]);
    t.true(isUsable(registry, RUN), 'a later run is used');
  });

  it('uses a removed replica that the copy lists only if it stays listed', t => {
    const clock = manualClock();
    const registry = registryOf(clock, [{ replica: RUN, version: 3 }]);
    registry.applySnapshot([], toStoreVersion(1, 21), 0);
    restore(registry, [{ replica: RUN, version: 3 }]);
    t.false(isUsable(registry, RUN));
    clock.advance(HOLD_MS + 1000);
    t.deepEqual(
      registry.tick().map(({ kind }) => kind),
      ['updated'],
    );
    t.true(isUsable(registry, RUN));
  });

  it('uses a removed replica that has registered since', t => {
    const registry = registryOf(manualClock(), [{ replica: RUN, version: 3 }]);
    registry.applySnapshot([], toStoreVersion(1, 5), 0);
    registry.applySnapshot([], toStoreVersion(1, 21), 0);
    restore(registry, [{ replica: RUN, version: 22 }]);
    t.true(isUsable(registry, RUN));
  });

  it('uses a replica that is newer than the copy until it had time to register', t => {
    const clock = manualClock();
    const registry = registryOf(clock, [{ replica: RUN, version: 15 }]);
    restore(registry, []);
    t.true(isUsable(registry, RUN));
    clock.advance(3000);
    registry.tick();
    t.false(isUsable(registry, RUN));
  });

  it('drops a replica that the copy would contain', t => {
    const registry = registryOf(manualClock(), [{ replica: RUN, version: 9 }]);
    restore(registry, []);
    t.false(isUsable(registry, RUN));
  });

  it('ignores what belongs to an earlier era', t => {
    const registry = registryOf(manualClock(), [{ replica: RUN, version: 9 }]);
    const late = registryOf(manualClock(), [
      { replica: RUN, version: 9 },
      { replica: OTHER, version: 19 },
    ]);
    restore(registry, [{ replica: RUN, version: 9 }]);
    registry.applyRows(
      rowsOf(1, [{ replica: OTHER, version: 19 }]),
      toStoreVersion(1, 20),
      0,
    );
    t.is(registry.find(OTHER.id), undefined);
    registry.merge(late.changesSince(0));
    t.is(registry.find(OTHER.id), undefined);
  });

  it('sends all entries to instances of an earlier era, as a complete list', t => {
    const started = new ReplicaRegistry(storeClockOn(manualClock()));
    restore(started, [{ replica: RUN, version: 9 }]);
    const behind = registryOf(manualClock(), [
      { replica: RUN, version: 9 },
      { replica: OTHER, version: 5 },
    ]);
    t.true(started.changedAt > behind.version);
    const changes = started.changesSince(behind.version);
    t.true(changes.complete);
    t.false(behind.followsWithoutGap(started.newestChanges(24)));
    t.true(behind.followsWithoutGap(changes));
    behind.merge(changes);
    t.true(isUsable(behind, RUN));
    t.is(behind.find(OTHER.id), undefined);
  });
});
