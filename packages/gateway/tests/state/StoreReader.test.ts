import type { ReplicaRow } from '@jujubecroft/decisions';
import { describe } from '@jujubecroft/testing';
import type { BackendServerId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { GatewayContext } from '../../src/GatewayContext.js';
import type { DiscoveryStore } from '../../src/ports/DiscoveryStore.js';
import { FleetView } from '../../src/state/FleetView.js';
import { StoreReader } from '../../src/state/StoreReader.js';
import {
  createReplica,
  createVirtualContext,
} from '../helpers/virtualDeployment.js';
import { VirtualProcess, VirtualTime } from '../helpers/VirtualTime.js';

const REPLICA = brand<BackendServerId>('s-1');
const BOUND_MS = 3000;

const stands: ReplicaRow = {
  id: REPLICA,
  rowVersion: 1,
  replica: createReplica(REPLICA),
};
const removed: ReplicaRow = { id: REPLICA, rowVersion: 2, replica: null };

class ReaderFixture {
  readonly time = new VirtualTime();
  readonly context: GatewayContext;
  /** Whether the store answers this instance. */
  answers = true;
  #rows: readonly ReplicaRow[] = [stands];
  #version = 1;

  constructor() {
    const { time } = this;
    const process = new VirtualProcess();
    this.context = createVirtualContext('entry-0', BOUND_MS, time, process);
    const view = new FleetView(this.context, () => undefined);
    new StoreReader(this.context, this.#store, view).start();
  }

  get isUsed(): boolean {
    return this.context.router.board.replicas.find(REPLICA) !== undefined;
  }

  remove(): void {
    this.#rows = [removed];
    this.#version = 2;
  }

  get #store(): DiscoveryStore {
    const read = <Answer extends object>(answer: () => Answer) =>
      new Promise<Answer & { version: number; storeMs: number }>(
        (resolve, reject) => {
          this.time.after(5, () => {
            if (this.answers) {
              const { nowMs } = this.time;
              const state = { version: this.#version, storeMs: nowMs };
              resolve({ ...answer(), ...state });
            } else {
              reject(new Error('turned away'));
            }
          });
        },
      );
    return {
      readConfiguration: () => read(() => ({ configuration: null })),
      watchConfiguration: () => read(() => ({ configuration: null })),
      readReplicas: () => read(() => ({ rows: this.#rows })),
      changedReplicas: after =>
        read(() => ({
          rows: this.#rows.filter(({ rowVersion }) => rowVersion > after),
        })),
      announce: () => Promise.resolve(),
      listInstances: () => Promise.resolve([]),
      close: () => undefined,
    };
  }
}

describe('StoreReader', ({ describe: group, it }) => {
  it('uses no replica whose entry was removed', async t => {
    const fixture = new ReaderFixture();
    await fixture.time.run(1000);
    t.true(fixture.isUsed);
    fixture.remove();
    await fixture.time.run(1000);
    t.false(fixture.isUsed);
  });

  group('after its calls have failed for two seconds', ({ it: test }) => {
    // The store was away. Entries of live replicas have run out meanwhile and come
    // back within seconds; taken for gone, nothing could be served until then.
    test('keeps removed entries for a while where nobody could read', async t => {
      const fixture = new ReaderFixture();
      await fixture.time.run(1000);
      fixture.answers = false;
      await fixture.time.run(2000);
      fixture.remove();
      fixture.answers = true;
      await fixture.time.run(1500);
      t.true(fixture.isUsed);
      await fixture.time.run(2500);
      fixture.context.router.board.replicas.tick();
      t.false(fixture.isUsed);
    });

    // The link of one instance was full, and the store served all others. It took that
    // for an outage, kept a replica that had left 2.5 s longer, and told others to do
    // the same: three seconds after the leave requests still went there.
    test('keeps none where others could read meanwhile', async t => {
      const fixture = new ReaderFixture();
      const { replicas } = fixture.context.router.board;
      await fixture.time.run(1000);
      fixture.answers = false;
      await fixture.time.run(2000);
      replicas.confirm(1, fixture.time.nowMs - 100);
      fixture.remove();
      fixture.answers = true;
      await fixture.time.run(1500);
      t.false(fixture.isUsed);
    });
  });
});
