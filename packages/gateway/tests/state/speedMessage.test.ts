import type { SpeedReport } from '@jujubecroft/decisions';
import { describe } from '@jujubecroft/testing';
import { GatewayState } from '@jujubecroft/operator/peers';
import type { BackendServerId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { fromSpeeds, toSpeeds } from '../../src/state/speedMessage.js';

const REPORT: SpeedReport = {
  id: brand<BackendServerId>('s-1'),
  bornMs: 1_764_000_000_123,
  samples: 17,
  unitMs: 41.125,
  speedClass: 'slow',
};

function transfer(reports: readonly SpeedReport[]): readonly SpeedReport[] {
  const state = GatewayState.fromPartial({ speeds: toSpeeds(reports) });
  const bytes = GatewayState.encode(state).finish();
  return fromSpeeds(GatewayState.decode(bytes).speeds);
}

describe('speedMessage', ({ it }) => {
  it('transfers the speeds of replicas', t => {
    const reports = [REPORT, { ...REPORT, bornMs: null }];
    t.deepEqual(transfer(reports), reports);
  });

  it('leaves out speeds without a time, and bounds those that do not fit', t => {
    // Guards against a value that can't be encoded, without which no state at all
    // would be exchanged, and against a factor of 0 or without a number.
    t.deepEqual(transfer([{ ...REPORT, unitMs: 0 }]), []);
    t.is(transfer([{ ...REPORT, unitMs: 1e12 }])[0]?.unitMs, 1_000_000);
  });

  it('reads no speeds from an instance that sends none', t => {
    t.deepEqual(fromSpeeds(GatewayState.decode(new Uint8Array()).speeds), []);
  });
});
