import { describe } from '@jujubecroft/testing';
import type { InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { FleetClock, StoreClock } from '../../src/index.js';
import {
  manualClock,
  storeClockOn,
} from '../gateway/helpers/gatewayFixture.js';

const UNIX_MS = 1_764_000_000_000;

describe('FleetClock', ({ it }) => {
  // Guards against usage that is counted in the wrong window because a clock was set.
  it('ignores jumps of the wall clock of a minority of instances', t => {
    const clock = manualClock();
    let jumpMs = 0;
    const fleetClock = new FleetClock(
      storeClockOn(clock),
      () => UNIX_MS + clock.now() + jumpMs,
    );
    [1, 2, 3, 4].forEach(index => {
      const peer = brand<InstanceId>(`entry-${index}`);
      const errorMs = index === 1 ? 4000 : 0;
      fleetClock.onPeer(peer, UNIX_MS + clock.now() + errorMs, clock.now());
    });
    jumpMs = -7000;
    clock.advance(500);
    t.true(Math.abs(fleetClock.nowMs - UNIX_MS - clock.now()) < 5);
  });

  it('equals the wall clock of the instance until the store was read', t => {
    const clock = manualClock();
    const fleetClock = new FleetClock(new StoreClock(clock.now), () => UNIX_MS);
    t.is(fleetClock.nowMs, UNIX_MS);
  });
});
