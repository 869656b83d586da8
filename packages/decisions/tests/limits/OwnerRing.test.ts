import { describe } from '@jujubecroft/testing';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { OwnerRing } from '../../src/index.js';

const fleet = (size: number): InstanceId[] =>
  Array.from({ length: size }, (_, index) => brand<InstanceId>(`e${index}`));
const organisations = Array.from({ length: 510 }, (_, index) =>
  brand<OrganisationId>(`org-${index}`),
);

describe('OwnerRing', ({ it }) => {
  it('moves only the organisations of an instance that leaves', t => {
    const before = new OwnerRing(fleet(8));
    const after = new OwnerRing(fleet(7));
    organisations
      .filter(id => before.ownerOf(id) !== 'e7')
      .forEach(id => {
        t.is(after.ownerOf(id), before.ownerOf(id));
      });
  });

  it('does not depend on the order of the fleet', t => {
    const forward = new OwnerRing(fleet(8));
    const backward = new OwnerRing(fleet(8).reverse());
    organisations.forEach(id => {
      t.is(forward.ownerOf(id), backward.ownerOf(id));
    });
  });

  it('spreads organisations over all instances, and has no owner without any', t => {
    const ring = new OwnerRing(fleet(8));
    const owners = new Set(organisations.map(id => ring.ownerOf(id)));
    t.is(owners.size, 8);
    t.is(new OwnerRing([]).ownerOf(brand<OrganisationId>('org')), undefined);
  });
});
