import { describe } from '@jujubecroft/testing';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { Membership } from '../../src/index.js';

const STATE = { revision: 1, inFlight: 0 };

const ownFacts = (name: string) => ({
  instance: brand<InstanceId>(name),
  failureDomain: brand<FailureDomainId>('domain-a'),
  callerAddress: `http://${name}`,
  peerAddress: name,
});

const listed = (name: string) => ({
  ...ownFacts(name),
  id: brand<InstanceId>(name),
  state: 'live' as const,
});

/** Instances on one virtual clock, with links that a test can cut. */
class Fleet {
  nowMs = 0;
  readonly nodes = new Map<string, Membership>();
  readonly down = new Set<string>();
  readonly paused = new Set<string>();
  /** Whether messages from one instance to another are lost. */
  cut: (from: string, to: string) => boolean = () => false;
  /** Number of heartbeats sent. */
  messages = 0;

  constructor(names: readonly string[]) {
    names.forEach((name, index) => {
      const node = new Membership(
        ownFacts(name),
        () => this.nowMs,
        createRandom(index + 1),
      );
      node.onList(names.map(listed));
      this.nodes.set(name, node);
    });
  }

  node(name: string): Membership {
    const node = this.nodes.get(name);
    if (!node) {
      throw new Error(`no node ${name}`);
    }
    return node;
  }

  reaches(from: string, to: string): boolean {
    return !this.down.has(to) && !this.paused.has(to) && !this.cut(from, to);
  }

  /** Runs one period of all instances that are neither down nor paused. */
  runPeriod(): void {
    this.nowMs += 1000;
    this.nodes.forEach((node, name) => {
      if (!this.down.has(name) && !this.paused.has(name)) {
        node.tick();
        node.targets().forEach(({ id }) => {
          this.exchange(name, id);
        });
      }
    });
  }

  /** Sends a heartbeat and its reply, or checks the target indirectly if that fails. */
  exchange(from: string, to: string): void {
    const sender = this.node(from);
    this.messages += 1;
    if (this.reaches(from, to)) {
      const receiver = this.node(to);
      receiver.onMessage(sender.message(STATE));
      sender.onMessage(receiver.message(STATE));
      return;
    }
    const target = brand<InstanceId>(to);
    const isReachable = sender
      .indirectProbers(target, 2)
      .some(({ id }) => this.reaches(from, id) && this.reaches(id, to));
    if (!isReachable) {
      sender.onUnreachable(target);
    }
  }

  run(periods: number): void {
    Array.from({ length: periods }).forEach(() => {
      this.runPeriod();
    });
  }

  /** States of one instance as seen by all others that are not down. */
  statesOf(of: string): string[] {
    return [...this.nodes]
      .filter(([name]) => name !== of && !this.down.has(name))
      .map(
        ([, node]) =>
          node.members.find(({ id }) => id === of)?.state ?? 'unknown',
      );
  }
}

const names = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => `n${index}`);

describe('Membership', suite => {
  suite.describe('failures', ({ it }) => {
    // Guards against callers that are still sent to a crashed instance.
    it('detects a crashed instance on all others within a bounded time', t => {
      const fleet = new Fleet(names(8));
      fleet.run(3);
      fleet.down.add('n3');
      fleet.run(14);
      t.true(fleet.statesOf('n3').every(state => state === 'failed'));
    });

    // Guards against an instance that is no longer announced to callers because only the
    // link between it and one other instance is broken.
    it('does not suspect an instance because of one broken link', t => {
      const fleet = new Fleet(names(8));
      fleet.cut = (from, to) =>
        [from, to].includes('n1') && [from, to].includes('n2');
      fleet.run(30);
      t.true(fleet.statesOf('n2').every(state => state === 'live'));
      t.true(fleet.statesOf('n1').every(state => state === 'live'));
    });

    // Guards against an instance that never gets callers again after a pause of half a
    // minute. The others consider it failed; it has to learn this and raise its incarnation.
    it('restores a paused instance once it refutes its failure', t => {
      const fleet = new Fleet(names(8));
      fleet.run(3);
      fleet.paused.add('n4');
      fleet.run(20);
      t.true(fleet.statesOf('n4').every(state => state === 'failed'));
      fleet.paused.delete('n4');
      fleet.run(12);
      t.true(fleet.statesOf('n4').every(state => state === 'live'));
    });

    // Guards against an instance that was paused for a minute and then suspects all others
    // because it received no replies during the pause.
    it('does not let a paused instance suspect the others', t => {
      const fleet = new Fleet(names(4));
      fleet.run(3);
      fleet.nowMs += 60_000;
      fleet.node('n0').onUnreachable(brand<InstanceId>('n1'));
      t.is(fleet.node('n0').members.find(m => m.id === 'n1')?.state, 'live');
    });

    // Guards against two halves of the fleet that stay apart after a long partition.
    it('recovers from a partition by itself', t => {
      const fleet = new Fleet(names(12));
      const side = (name: string): boolean => Number(name.slice(1)) < 6;
      fleet.run(3);
      fleet.cut = (from, to) => side(from) !== side(to);
      fleet.run(60);
      t.true(fleet.statesOf('n0').includes('failed'));
      fleet.cut = () => false;
      fleet.run(25);
      names(12).forEach(name => {
        t.true(fleet.statesOf(name).every(state => state === 'live'));
      });
    });
  });

  suite.describe('leaving', ({ it }) => {
    // Guards against a stopping instance that still gets callers because the platform's
    // list shows it as live for a while.
    it('spreads a leave and keeps it while the list lags behind', t => {
      const fleet = new Fleet(names(8));
      fleet.run(3);
      fleet.node('n5').leave();
      fleet.run(6);
      fleet.nodes.forEach(node => {
        node.onList(names(8).map(listed));
      });
      t.true(fleet.statesOf('n5').every(state => state === 'leaving'));
    });
  });

  suite.describe('message order and cost', ({ it }) => {
    // Guards against callers that are sent to a stopping instance because its reply to a
    // heartbeat, written just before the leave, arrives after it.
    it('keeps a leave when an older heartbeat arrives after it', t => {
      const [staying, stopping] = ['a', 'b'].map(
        name => new Membership(ownFacts(name), () => 0, createRandom(1)),
      );
      if (!staying || !stopping) {
        t.fail('expected two memberships');
        return;
      }
      const before = stopping.message(STATE);
      stopping.leave();
      staying.onMessage(stopping.message(STATE));
      staying.onMessage(before);
      t.deepEqual(staying.serving, []);
    });

    it('treats an instance as serving that restarts after its leave', t => {
      const staying = new Membership(ownFacts('a'), () => 0, createRandom(1));
      const message = new Membership(
        ownFacts('b'),
        () => 0,
        createRandom(2),
      ).message(STATE);
      staying.onMessage({ ...message, leaving: true });
      const again = { ...message, incarnation: message.incarnation + 1 };
      staying.onMessage(again);
      t.is(staying.serving.length, 1);
    });

    it('sends the same number of messages per instance in small and large fleets', t => {
      const perNode = [16, 64].map(count => {
        const fleet = new Fleet(names(count));
        fleet.run(10);
        return fleet.messages / count / 10;
      });
      t.deepEqual(perNode, [2, 2]);
    });
  });
});
