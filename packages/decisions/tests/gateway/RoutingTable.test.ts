import { describe } from '@jujubecroft/testing';
import type { OrganisationId, RouteId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { RoutingTable } from '../../src/index.js';
import { configuration, route } from './helpers/gatewayFixture.js';

const named = (name: string, prefix: string) =>
  route({ id: brand<RouteId>(name), prefix });

describe('RoutingTable', ({ describe: group, it }) => {
  group('find', ({ it: case_ }) => {
    const table = new RoutingTable(
      configuration([
        named('root', '/'),
        named('a', '/a/'),
        named('ab', '/a/b/'),
      ]),
    );
    const found: readonly (readonly [string, string, string | undefined])[] = [
      ['a.example', '/a/b/c', 'ab'],
      ['a.example', '/a/b/', 'ab'],
      ['a.example', '/a/b', 'a'],
      ['a.example', '/ab/c', 'root'],
      ['A.EXAMPLE:8080', '/a/x', 'a'],
      ['b.example', '/a/x', undefined],
      ['', '/a/x', undefined],
      ['a.example', 'no-slash', undefined],
    ];
    found.forEach(([host, path, wanted]) => {
      case_(`${host}${path} leads to ${wanted ?? 'no route'}`, t => {
        t.is(table.find(host, path)?.id, wanted as RouteId | undefined);
      });
    });
  });

  it('finds an organisation by each of its keys and by no other', t => {
    const table = new RoutingTable({
      ...configuration([]),
      organisations: [
        { id: brand<OrganisationId>('o-1'), keys: ['k1', 'k2'], priority: 1 },
      ],
    });
    t.is(table.organisationOf('k1')?.id, 'o-1' as OrganisationId);
    t.is(table.organisationOf('k2')?.id, 'o-1' as OrganisationId);
    t.is(table.organisationOf('k3'), undefined);
    t.true(table.needsKeys);
  });
});
