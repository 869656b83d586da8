import { describe } from '@jujubecroft/testing';
import type { OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { WorkTracker } from '../../../src/gateway/shares/WorkTracker.js';
import { manualClock, SERVICE } from '../helpers/gatewayFixture.js';

describe('WorkTracker', ({ it }) => {
  // Guards against state that grows with each organisation ever configured
  // where capacity is never short, so that no rates are read.
  it('drops idle organisations, and no others, when the configuration changes', t => {
    const clock = manualClock();
    const tracker = new WorkTracker(clock.now);
    const rates = tracker.ratesOf(SERVICE, 0);
    rates.onOffered(brand<OrganisationId>('removed'), 100);
    clock.advance(60_000);
    rates.onOffered(brand<OrganisationId>('active'), 100);
    t.is(rates.size, 2);
    tracker.retainServices([SERVICE]);
    t.is(rates.size, 1);
    t.is(
      rates.group.organisations[0]?.organisation,
      brand<OrganisationId>('active'),
    );
  });
});
