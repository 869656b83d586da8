import { describe } from '@jujubecroft/testing';
import type { MemberState } from '@jujubecroft/decisions';
import { createRandom } from '@jujubecroft/types';

import { chooseAddresses } from '../../src/index.js';
import type { GatewayContext } from '../../src/index.js';

const OWN = '10.0.0.1:80';

/** A ready instance that knows others by address and state. */
function contextWith(
  others: readonly (readonly [string, MemberState])[],
): GatewayContext {
  const serving = others.map(([callerAddress, state]) => ({
    callerAddress,
    state,
  }));
  return {
    leaving: false,
    settings: { callers: { host: '10.0.0.1', port: 80 } },
    membership: { serving },
    router: {
      board: { table: {}, replicas: { version: 1 }, random: createRandom(3) },
    },
    // Only the parts that chooseAddresses reads.
  } as unknown as GatewayContext;
}

const addresses = (count: number, state: MemberState) =>
  Array.from({ length: count }, (_, index) => [
    `10.1.${Math.floor(index / 200)}.${index % 200}:80`,
    state,
  ]) as readonly (readonly [string, MemberState])[];

describe('chooseAddresses', ({ it }) => {
  // All instances list the others in the same order. If each answered with the first
  // ones, a third of two hundred instances would get nearly all callers and be
  // overloaded.
  it('spreads callers evenly over a fleet that exceeds one answer', t => {
    const context = contextWith(addresses(194, 'live'));
    const named = new Map<string, number>();
    for (let round = 0; round < 1000; round += 1) {
      const answer = chooseAddresses(context);
      t.is(answer.length, 64);
      answer.forEach(address => {
        named.set(address, (named.get(address) ?? 0) + 1);
      });
    }
    named.delete(OWN);
    const counts = [...named.values()];
    t.is(counts.length, 194);
    t.true(Math.max(...counts) < 1.5 * Math.min(...counts));
  });

  it('leaves suspects out while most other instances are live', t => {
    const answer = chooseAddresses(
      contextWith([...addresses(3, 'live'), ['10.9.0.1:80', 'suspect']]),
    );
    t.is(answer.length, 4);
    t.false(answer.includes('10.9.0.1:80'));
  });

  it('includes suspects, last, if most other instances are suspects', t => {
    const answer = chooseAddresses(
      contextWith([...addresses(3, 'suspect'), ['10.9.0.1:80', 'live']]),
    );
    t.deepEqual(answer.slice(0, 2), [OWN, '10.9.0.1:80']);
    t.is(answer.length, 5);
  });
});
