import { describe } from '@jujubecroft/testing';

import { ReplicaHealth } from '../../src/gateway/ReplicaHealth.js';
import { manualClock } from './helpers/gatewayFixture.js';

describe('ReplicaHealth', ({ it }) => {
  it('avoids a replica after consecutive failures, then sends one probe at a time', t => {
    // Guards against a replica that announces itself as ready but fails each
    // request. After some failures it gets single probes only.
    const clock = manualClock();
    const health = new ReplicaHealth(clock.now);
    [1, 2, 3].forEach(() => {
      health.onSent();
      health.onFailure(0);
    });
    t.is(health.verdict, 'avoid');
    clock.advance(1000);
    t.is(health.verdict, 'probe');
    health.onSent();
    t.is(health.verdict, 'avoid');
    health.onSuccess();
    [1, 2].forEach(() => {
      t.is(health.verdict, 'probe');
      health.onSent();
      health.onSuccess();
    });
    t.is(health.verdict, 'good');
  });

  it('avoids a replica for longer after each failed probe', t => {
    const clock = manualClock();
    const health = new ReplicaHealth(clock.now);
    [1, 2, 3].forEach(() => {
      health.onFailure(0);
    });
    clock.advance(1000);
    health.onSent();
    health.onFailure(0);
    clock.advance(1000);
    t.is(health.verdict, 'avoid');
    clock.advance(1000);
    t.is(health.verdict, 'probe');
  });

  it('trusts a replica that fails no more than the others', t => {
    // If every replica of the service fails a third of one kind of request by
    // itself, avoiding all of them would leave none to use.
    const health = new ReplicaHealth(manualClock().now);
    Array.from({ length: 60 }).forEach((_, index) => {
      if (index % 3 === 0) {
        health.onFailure(0.33);
      } else {
        health.onSuccess();
      }
    });
    t.is(health.verdict, 'good');
  });

  it('avoids a replica that alone fails half of its requests', t => {
    const health = new ReplicaHealth(manualClock().now);
    Array.from({ length: 40 }).forEach((_, index) => {
      if (index % 2 === 0) {
        health.onFailure(0.02);
      } else {
        health.onSuccess();
      }
    });
    t.not(health.verdict, 'good');
  });
});
