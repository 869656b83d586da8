import type { RoutingConfiguration } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import {
  fromConfigurationFields,
  NO_CONFIGURATION,
  toChangesFields,
  toWholeFields,
} from '../../src/state/configurationMessage.js';

const CONFIGURATION: RoutingConfiguration = {
  version: 4,
  routes: [],
  services: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 2,
    headerTimeoutMs: 3,
    idleTimeoutMs: 4,
  },
  organisations: null,
};
const NO_CHANGES = { put: [], removed: [] };
const CHANGES = {
  from: 4,
  version: 7,
  routes: NO_CHANGES,
  services: NO_CHANGES,
  limits: { ...CONFIGURATION.limits, maxBodyBytes: 20 },
  organisations: null,
};

describe('configurationMessage', ({ it }) => {
  it('encodes and decodes a whole configuration', t => {
    const fields = toWholeFields(CONFIGURATION);
    t.deepEqual(fromConfigurationFields(fields, null), CONFIGURATION);
    t.is(toWholeFields(null), NO_CONFIGURATION);
  });

  it('applies changes only to the version that they start from', t => {
    const fields = toChangesFields([CHANGES], 1000);
    t.deepEqual(fromConfigurationFields(fields, CONFIGURATION), {
      ...CONFIGURATION,
      version: 7,
      limits: CHANGES.limits,
    });
    t.is(
      fromConfigurationFields(fields, { ...CONFIGURATION, version: 3 }),
      null,
    );
    t.is(fromConfigurationFields(fields, null), null);
  });

  it('omits changes that are too long, unknown or empty', t => {
    t.is(toChangesFields([CHANGES], 10), NO_CONFIGURATION);
    t.is(toChangesFields(null, 1000), NO_CONFIGURATION);
    t.is(toChangesFields([], 1000), NO_CONFIGURATION);
  });
});
