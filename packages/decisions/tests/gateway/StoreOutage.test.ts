import { describe } from '@jujubecroft/testing';
import type { InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { StoreOutage } from '../../src/gateway/StoreOutage.js';
import { manualClock } from './helpers/gatewayFixture.js';

const [ONE, TWO] = ['i-1', 'i-2'].map(id => brand<InstanceId>(id)) as [
  InstanceId,
  InstanceId,
];

function createFixture() {
  const clock = manualClock();
  const outage = new StoreOutage(clock.now);
  return {
    clock,
    outage,
    /** Lets two instances answer probes that are sent now. */
    answerProbes: () => {
      [ONE, TWO].forEach(id => {
        outage.onPeerAnswer(id, clock.now());
      });
    },
  };
}

describe('StoreOutage', ({ describe: group, it }) => {
  it('is confirmed by failed calls alone if there is no other instance', t => {
    const { outage } = createFixture();
    t.false(outage.isConfirmed(0));
    outage.onFailure();
    t.true(outage.isConfirmed(0));
    outage.onAnswer();
    t.false(outage.isConfirmed(0));
  });

  it('needs the answers of two instances, or of the only other one', t => {
    const { clock, outage } = createFixture();
    outage.onFailure();
    t.false(outage.isConfirmed(5));
    outage.onPeerAnswer(ONE, clock.now());
    outage.onPeerAnswer(ONE, clock.now());
    t.true(outage.isConfirmed(1));
    t.false(outage.isConfirmed(5));
    outage.onPeerAnswer(TWO, clock.now());
    t.true(outage.isConfirmed(5));
  });

  it('is no longer confirmed once the answers are old', t => {
    const { clock, outage, answerProbes } = createFixture();
    outage.onFailure();
    answerProbes();
    clock.advance(1400);
    t.true(outage.isConfirmed(2));
    clock.advance(200);
    t.false(outage.isConfirmed(2));
  });

  it('counts a call as failing once it was not answered for a while', t => {
    const { clock, outage } = createFixture();
    outage.onCall();
    clock.advance(300);
    outage.onCall();
    t.false(outage.isConfirmed(0));
    clock.advance(100);
    t.true(outage.isConfirmed(0));
  });

  group('after the process has stood still', ({ it: test }) => {
    // Guards against an instance that takes its own stall for an outage: its calls time
    // out although the store has answered them.
    test('needs new evidence', t => {
      const { clock, outage, answerProbes } = createFixture();
      outage.onCall();
      answerProbes();
      clock.advance(1000);
      outage.onStall();
      t.false(outage.isConfirmed(2));
      answerProbes();
      t.false(outage.isConfirmed(2));
      clock.advance(400);
      t.true(outage.isConfirmed(2));
    });
  });
});
