import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';
import type { FailureDomainId, InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { evenSubset } from '../../src/index.js';
import { engine } from '../helpers/RouterFixture.js';

const SEED = 11;

const instancesOf = (count: number): InstanceId[] =>
  Array.from({ length: count }, (_, i) => brand<InstanceId>(`entry-${i}`));

const serversOf = (count: number) =>
  Array.from({ length: count }, (_, i) =>
    engine(`engine-${i}`, {
      failureDomain: brand<FailureDomainId>(`domain-${i % 6}`),
    }),
  );

function usage(instances: InstanceId[], servers: number, size: number) {
  const all = serversOf(servers);
  const counts = new Map(all.map(({ id }) => [id, 0]));
  instances
    .flatMap(self => evenSubset(all, instances, self, size))
    .forEach(({ id }) => {
      counts.set(id, (counts.get(id) ?? 0) + 1);
    });
  return [...counts.values()];
}

describe('evenSubset', ({ it }) => {
  it('uses every server equally often, give or take one', t => {
    const property = fc.property(
      fc.integer({ min: 1, max: 60 }),
      fc.integer({ min: 1, max: 90 }),
      fc.integer({ min: 1, max: 24 }),
      (instances, servers, size) => {
        const counts = usage(instancesOf(instances), servers, size);
        return Math.max(...counts) - Math.min(...counts) <= 1;
      },
    );
    const result = fc.check(property, { seed: SEED, numRuns: 60 });
    t.false(result.failed, fc.defaultReportMessage(result) ?? '');
  });

  it('spans all failure domains', t => {
    const [self] = instancesOf(1);
    const chosen = evenSubset(
      serversOf(60),
      instancesOf(10),
      self ?? brand<InstanceId>(''),
      12,
    );
    t.is(new Set(chosen.map(server => server.failureDomain)).size, 6);
  });

  it('keeps over nine tenths of the choices when an instance joins', t => {
    const before = instancesOf(100);
    const after = [...before, brand<InstanceId>('entry-new')];
    const servers = serversOf(160);
    const kept = before.map(self => {
      const old = new Set(evenSubset(servers, before, self, 16));
      return evenSubset(servers, after, self, 16).filter(s => old.has(s))
        .length;
    });
    const share = kept.reduce((sum, k) => sum + k, 0) / (100 * 16);
    t.true(share > 0.9, `kept ${share}`);
  });
});
