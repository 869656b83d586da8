import { describe } from '@jujubecroft/testing';
import type { ModelId } from '@jujubecroft/types';
import { brand, EMPTY_CONFIGURATION } from '@jujubecroft/types';

import { applyEntity } from '../../src/configuration/applyEntity.js';

const IDS = ['hotel-riva', 'bistro', 'konoba-mir'];

describe('applyEntity', ({ it }) => {
  // Guards against instances that hold the same revision with different order, depending
  // on whether they loaded it as a whole or applied the changes one by one.
  it('sorts entities by id, whatever the order in which they are added', t => {
    const added = IDS.reduce(
      (cfg, id) =>
        applyEntity(cfg, 'modelVersion', id, {
          kind: 'modelVersion',
          id: brand<ModelId>(id),
          version: '1',
        }),
      EMPTY_CONFIGURATION,
    );
    const order = added.modelVersions.map(({ id }) => id as string);
    t.deepEqual(order, [...IDS].sort());
  });
});
