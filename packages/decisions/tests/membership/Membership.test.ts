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

/** Instances on one virtual clock, with a link that the test can cut. */
class Fleet {
  nowMs = 0;
  readonly nodes = new Map<string, Membership>();
  readonly down = new Set<string>();
  readonly paused = new Set<string>();
  cut: (from: string, to: string) => boolean = () => false;
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
    const helped = sender
      .helpers(target, 2)
      .some(({ id }) => this.reaches(from, id) && this.reaches(id, to));
    if (!helped) {
      sender.onUnreachable(target);
    }
  }

  run(periods: number): void {
    Array.from({ length: periods }).forEach(() => {
      this.runPeriod();
    });
  }

  /** How all others see one instance. */
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
    it('finds a crashed instance everywhere within a bounded time', t => {
      // Callers keep being sent to an instance that is gone.
      const fleet = new Fleet(names(8));
      fleet.run(3);
      fleet.down.add('n3');
      fleet.run(14);
      t.true(fleet.statesOf('n3').every(state => state === 'failed'));
    });

    it('does not suspect over one broken link', t => {
      // An instance disappears from the addresses although it serves well. Only
      // the link between it and one other is broken; others still reach it.
      const fleet = new Fleet(names(8));
      fleet.cut = (from, to) =>
        [from, to].includes('n1') && [from, to].includes('n2');
      fleet.run(30);
      t.true(fleet.statesOf('n2').every(state => state === 'live'));
      t.true(fleet.statesOf('n1').every(state => state === 'live'));
    });

    it('takes a paused instance back once it refutes', t => {
      // After a pause of half a minute an instance never gets callers again.
      // The others gave it up; it must learn that and raise its incarnation.
      const fleet = new Fleet(names(8));
      fleet.run(3);
      fleet.paused.add('n4');
      fleet.run(20);
      t.true(fleet.statesOf('n4').every(state => state === 'failed'));
      fleet.paused.delete('n4');
      fleet.run(12);
      t.true(fleet.statesOf('n4').every(state => state === 'live'));
    });

    it('does not let a paused instance accuse the others', t => {
      // A process that was stopped for a minute wakes up and takes every
      // instance for dead, because no reply came while it was stopped.
      const fleet = new Fleet(names(4));
      fleet.run(3);
      fleet.nowMs += 60_000;
      fleet.node('n0').onUnreachable(brand<InstanceId>('n1'));
      t.is(fleet.node('n0').members.find(m => m.id === 'n1')?.state, 'live');
    });

    it('heals a partition by itself', t => {
      // Two regions lose each other for an hour and must find back together.
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
    it('spreads a leave and keeps it although the list lags', t => {
      // A stopping instance still gets callers, because the platform's list
      // names it as live for a while.
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

  suite.describe('cost', ({ it }) => {
    // Callers are still sent to an instance that is stopping. It has told of its leave,
    // and then its reply to a heartbeat arrives that it wrote just before.
    it('keeps a leave although an older heartbeat comes after it', t => {
      const [staying, stopping] = ['a', 'b'].map(
        name => new Membership(ownFacts(name), () => 0, createRandom(1)),
      );
      if (!staying || !stopping) {
        t.fail('two were made');
        return;
      }
      const before = stopping.message(STATE);
      stopping.leave();
      staying.onMessage(stopping.message(STATE));
      staying.onMessage(before);
      t.deepEqual(staying.serving, []);
    });

    it('takes an instance back that starts again after its leave', t => {
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

    it('sends as many messages an instance in a large fleet as in a small one', t => {
      const perNode = [16, 64].map(count => {
        const fleet = new Fleet(names(count));
        fleet.run(10);
        return fleet.messages / count / 10;
      });
      t.deepEqual(perNode, [2, 2]);
    });
  });
});
