import { describe } from '@jujubecroft/testing';
import type { ModelId } from '@jujubecroft/types';
import { brand, EMPTY_CONFIGURATION } from '@jujubecroft/types';

import { applyEntity } from '../../src/configuration/applyEntity.js';

const IDS = ['hotel-riva', 'bistro', 'konoba-mir'];

describe('applyEntity', ({ it }) => {
  // Guards against instances whose configurations of one revision differ in order, by
  // whether they learnt them as a whole or by the changes.
  it('keeps entities in the order of their keys, however they come', t => {
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
