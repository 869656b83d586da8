import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';
import type { BackendServerId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { ReplicaChanges, ReplicaRow } from '../../src/index.js';
import { ReplicaRegistry } from '../../src/index.js';
import {
  manualClock,
  replica,
  storeClockOn,
} from './helpers/gatewayFixture.js';

const row = (
  name: string,
  rowVersion: number,
  leaving = false,
): ReplicaRow => ({
  id: brand<BackendServerId>(name),
  rowVersion,
  replica: replica(name, { leaving }),
});
const removed = (name: string, rowVersion: number): ReplicaRow => ({
  id: brand<BackendServerId>(name),
  rowVersion,
  replica: null,
});
const idsOf = (registry: ReplicaRegistry): readonly string[] =>
  registry.replicas.map(({ id }) => id as string).sort();

describe('ReplicaRegistry', ({ describe: group, it }) => {
  it('reports changes of content, but not heartbeats', t => {
    const registry = new ReplicaRegistry(storeClockOn(manualClock()));
    t.is(registry.applyRows([row('a', 1)], 1, 0)[0]?.kind, 'added');
    t.deepEqual(registry.applyRows([row('a', 5)], 5, 0), []);
    t.is(registry.changedAt, 1);
    t.is(registry.applyRows([row('a', 6, true)], 6, 0)[0]?.kind, 'leaving');
    t.is(registry.applyRows([removed('a', 7)], 7, 0)[0]?.kind, 'gone');
  });

  it('ignores older rows that arrive late', t => {
    // Guards against requests to a replica that has left: a slow instance may
    // relay an entry that has been replaced in the meantime. The store's
    // version must decide.
    const registry = new ReplicaRegistry(storeClockOn(manualClock()));
    registry.applyRows([row('a', 8, true)], 8, 0);
    registry.applyRows([row('a', 4)], 4, 0);
    t.true(registry.find(brand<BackendServerId>('a'))?.leaving);
    t.is(registry.version, 8);
  });

  // Guards against requests to a leaving replica whose earlier report the store applies
  // after the leave: a call without an answer may be carried out seconds later.
  it('keeps a leave if an entry of the same run is ready again', t => {
    const id = brand<BackendServerId>('a');
    const report = (version: number, bornMs: number, leaving = false) => ({
      id,
      rowVersion: version,
      replica: replica('a', { bornMs, leaving }),
    });
    const source = new ReplicaRegistry(storeClockOn(manualClock()));
    source.applyRows([report(1, 5)], 1, 0);
    const peer = new ReplicaRegistry(storeClockOn(manualClock()));
    peer.merge(source.changesSince(0));
    source.applyRows([report(2, 5, true)], 2, 0);
    peer.merge(source.changesSince(1));
    source.applyRows([report(3, 5)], 3, 0);
    peer.merge(source.changesSince(2));
    t.true(source.find(id)?.leaving);
    t.true(peer.find(id)?.leaving);
    source.applyRows([report(4, 6)], 4, 0);
    t.false(source.find(id)?.leaving, 'a later run is used');
  });

  // A replica may leave while an instance is disconnected. A datagram with only
  // the newest changes must not make that instance's view count as complete: it
  // would keep sending to the replica, and no instance would report the change
  // again.
  it('does not accept changes that leave a gap', t => {
    const source = new ReplicaRegistry(storeClockOn(manualClock()));
    source.applyRows([row('a', 1), row('b', 2)], 2, 0);
    const behind = new ReplicaRegistry(storeClockOn(manualClock()));
    behind.merge(source.changesSince(0));
    source.applyRows([row('a', 3, true), row('c', 4), row('d', 5)], 5, 0);
    const newest = source.newestChanges(2);
    t.is(newest.from, 3);
    t.false(behind.followsWithoutGap(newest));
    t.true(behind.followsWithoutGap(source.newestChanges(3)));
    t.true(
      behind.followsWithoutGap(source.limitedChangesSince(behind.version, 3)),
    );
    t.false(
      behind.followsWithoutGap(source.limitedChangesSince(behind.version, 2)),
    );
  });

  group('after an outage of the store', ({ it: case_ }) => {
    // Guards against rejections although all replicas are alive: during an
    // outage of the store, their entries expire, and they come back within
    // seconds of its return.
    case_('keeps live replicas until the time to come back has passed', t => {
      const clock = manualClock();
      const registry = new ReplicaRegistry(storeClockOn(clock));
      registry.applySnapshot([row('a', 1), row('b', 2)], 2, 0);
      registry.beginLapseGracePeriod(2500);
      const changes = registry.applyRows(
        [removed('a', 9), removed('b', 10)],
        10,
        0,
      );
      t.deepEqual(
        changes.map(({ kind }) => kind),
        ['lapsed', 'lapsed'],
      );
      t.deepEqual(idsOf(registry), ['a', 'b']);
      registry.applyRows([row('a', 11)], 11, 0);
      clock.advance(2600);
      t.deepEqual(
        registry.tick().map(({ id }) => id as string),
        ['b'],
      );
      t.deepEqual(idsOf(registry), ['a']);
    });

    case_(
      'immediately drops a replica that was leaving before the outage',
      t => {
        const registry = new ReplicaRegistry(storeClockOn(manualClock()));
        registry.applySnapshot([row('a', 1, true)], 1, 0);
        registry.beginLapseGracePeriod(2500);
        registry.applyRows([removed('a', 9)], 9, 0);
        t.deepEqual(idsOf(registry), []);
      },
    );
  });

  group('a replica that restarts under the same id', ({ it: case_ }) => {
    const run = (rowVersion: number, bornMs: number): ReplicaRow => ({
      ...row('a', rowVersion),
      replica: replica('a', { bornMs, address: `127.0.0.1:${bornMs}` }),
    });
    const startOf = (registry: ReplicaRegistry): number | null | undefined =>
      registry.find(brand<BackendServerId>('a'))?.bornMs;

    case_('is distinguished from a heartbeat', t => {
      const registry = new ReplicaRegistry(storeClockOn(manualClock()));
      registry.applyRows([run(1, 10)], 1, 0);
      t.deepEqual(registry.applyRows([run(2, 10)], 2, 0), []);
      const changes = registry.applyRows([run(3, 20)], 3, 0);
      t.is(changes[0]?.kind, 'restarted');
    });

    // A replica may crash while its last report is in transit. If the store
    // applies that report seconds later, after one of the next run, the old
    // address would come back and requests would go where no replica listens.
    case_('is not replaced by a late report of the previous run', t => {
      const registry = new ReplicaRegistry(storeClockOn(manualClock()));
      registry.applyRows([run(1, 10), run(2, 20)], 2, 0);
      t.deepEqual(registry.applyRows([run(3, 10)], 3, 0), []);
      t.is(startOf(registry), 20);
      registry.applyRows([removed('a', 4)], 4, 0);
      registry.applyRows([run(5, 10)], 5, 0);
      t.is(registry.find(brand<BackendServerId>('a')), undefined);
    });

    // The second instance has read a late report of the previous run and relays
    // it.
    case_(
      'is not replaced by a previous run that another instance relays as newer',
      t => {
        const clock = manualClock();
        const [one, two] = [
          new ReplicaRegistry(storeClockOn(clock)),
          new ReplicaRegistry(storeClockOn(clock)),
        ];
        one.applyRows([run(1, 10), run(2, 20)], 2, 0);
        two.applyRows([run(3, 10)], 3, 0);
        t.deepEqual(one.merge(two.changesSince(2)), []);
        t.is(startOf(one), 20);
      },
    );

    case_('keeps its start if an entry does not contain it', t => {
      const registry = new ReplicaRegistry(storeClockOn(manualClock()));
      registry.applyRows([run(1, 10), row('a', 2)], 2, 0);
      t.is(startOf(registry), 10);
      t.is(registry.applyRows([run(3, 20)], 3, 0)[0]?.kind, 'restarted');
    });
  });

  it('removes entries that a full read does not contain', t => {
    const registry = new ReplicaRegistry(storeClockOn(manualClock()));
    registry.applySnapshot([row('a', 1), row('b', 2)], 2, 0);
    registry.applySnapshot([row('b', 7)], 9, 0);
    t.deepEqual(idsOf(registry), ['b']);
  });

  // Guards against requests to replicas whose removal was never learnt: an instance
  // that had read all entries answered for removals before that read, which it
  // did not know, and the view of the other one counted as complete.
  group('after all entries were read', ({ it: case_ }) => {
    const readAll = (): ReplicaRegistry => {
      const registry = new ReplicaRegistry(storeClockOn(manualClock()));
      registry.applySnapshot([row('b', 2)], 4, 0);
      return registry;
    };
    const behindBy = (rows: readonly ReplicaRow[]): ReplicaRegistry => {
      const registry = new ReplicaRegistry(storeClockOn(manualClock()));
      registry.applyRows(rows, 2, 0);
      return registry;
    };

    case_('sends a complete view to an instance that is further behind', t => {
      const started = readAll();
      const behind = behindBy([row('a', 1), row('b', 2)]);
      behind.merge(started.changesSince(behind.version));
      t.deepEqual(idsOf(behind), ['b']);
    });

    case_('sends no changes from before that read as the newest', t => {
      const behind = behindBy([row('a', 1), row('b', 2)]);
      t.false(behind.followsWithoutGap(readAll().newestChanges(10)));
    });

    case_(
      'does not state that nothing has changed since before that read',
      t => {
        t.true(readAll().changedAt > 2);
      },
    );

    // Otherwise each instance that takes a view over makes all that are behind it do
    // the same, at an ever later version.
    case_(
      'answers for changes since that read once another took it over',
      t => {
        const started = readAll();
        started.applyRows([row('c', 9)], 9, 0);
        started.applyRows([row('c', 12)], 12, 0);
        const taken = new ReplicaRegistry(storeClockOn(manualClock()));
        taken.merge(started.changesSince(0));
        t.false(taken.changesSince(4).complete);
        t.is(taken.changedAt, 9);
      },
    );

    case_(
      'does not answer for earlier changes once another took it over',
      t => {
        const taken = new ReplicaRegistry(storeClockOn(manualClock()));
        taken.merge(readAll().changesSince(0));
        const behind = behindBy([row('a', 1), row('b', 2)]);
        behind.merge(taken.changesSince(behind.version));
        t.deepEqual(idsOf(behind), ['b']);
        t.true(taken.changedAt > 2);
      },
    );
  });

  it('agrees with the store however its changes are relayed between instances', t => {
    // Instances relay changes while messages are lost, delayed, repeated and
    // reordered, and restart. A view at some version must equal the contents of the
    // store at that version.
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            name: fc.constantFrom('a', 'b', 'c', 'd'),
            what: fc.constantFrom('put', 'leave', 'remove'),
          }),
          { minLength: 1, maxLength: 25 },
        ),
        fc.array(
          fc.record({
            from: fc.integer({ min: 0, max: 3 }),
            to: fc.integer({ min: 0, max: 3 }),
            reads: fc.constantFrom(
              'changes',
              'nothing',
              'whole',
              'afterRestart',
            ),
            repeat: fc.boolean(),
            selection: fc.constantFrom('all', 'few', 'newest'),
          }),
          { maxLength: 60 },
        ),
        (writes, steps) => {
          const clock = manualClock();
          const views = [0, 1, 2, 3].map(
            () => new ReplicaRegistry(storeClockOn(clock)),
          );
          const rows = writes.map(({ name, what }, index) =>
            what === 'remove'
              ? removed(name, index + 1)
              : row(name, index + 1, what === 'leave'),
          );
          const contentsAt = (version: number): readonly string[] => {
            const last = new Map(
              rows.slice(0, version).map(entry => [entry.id as string, entry]),
            );
            return [...last.values()]
              .filter(entry => entry.replica !== null)
              .map(({ id }) => id as string)
              .sort();
          };
          const changesOf = (
            source: ReplicaRegistry,
            selection: string,
            since: number,
          ): ReplicaChanges => {
            if (selection === 'newest') {
              return source.newestChanges(2);
            }
            return selection === 'few'
              ? source.limitedChangesSince(since, 2)
              : source.changesSince(since);
          };
          steps.forEach(({ from, to, reads, repeat, selection }, index) => {
            if (reads === 'afterRestart') {
              views[to] = new ReplicaRegistry(storeClockOn(clock));
            }
            const target = views[to];
            const source = views[from];
            if (!target || !source) {
              return;
            }
            const upTo = Math.min(rows.length, index + 1);
            if (reads === 'whole' || reads === 'afterRestart') {
              const listed = contentsAt(upTo);
              const current = rows
                .slice(0, upTo)
                .filter(
                  ({ id }, at, all) =>
                    listed.includes(id) &&
                    !all.slice(at + 1).some(later => later.id === id),
                );
              target.applySnapshot(current, upTo, 0);
            } else if (reads === 'changes') {
              const fresh = rows
                .slice(0, upTo)
                .filter(entry => entry.rowVersion > target.version);
              target.applyRows(fresh, Math.max(target.version, upTo), 0);
            } else if (
              target.version > 0 &&
              target.version >= source.changedAt
            ) {
              target.confirm(source.version, 0);
            } else if (source.version > target.version) {
              const changes = changesOf(source, selection, target.version);
              if (!target.followsWithoutGap(changes)) {
                return;
              }
              target.merge(changes);
              if (repeat) {
                target.merge(changes);
              }
            }
            t.deepEqual(idsOf(target), contentsAt(target.version));
          });
        },
      ),
      { seed: 20_260, numRuns: 400 },
    );
  });
});
