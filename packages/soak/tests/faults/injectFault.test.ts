import { describe } from '@jujubecroft/testing';

import type { DoneFault } from '../../src/evidence.js';
import type { FaultWorld } from '../../src/faults/injectFault.js';
import { injectFault } from '../../src/faults/injectFault.js';

/** A world whose gateways only note the signals that they get. */
function worldOf(gateways: number): {
  readonly world: FaultWorld;
  readonly signals: readonly string[];
} {
  const signals: string[] = [];
  const program = (index: number) => ({
    signal: (name: string) => signals.push(`${index} ${name}`),
    ended: () => Promise.resolve(),
    start: () => undefined,
  });
  const fleet = {
    gateways: Array.from({ length: gateways }, (_, index) => ({
      index,
      program: program(index),
    })),
    replicas: [],
  };
  const world = { fleet, bounds: { graceMs: 1 } } as unknown as FaultWorld;
  return { world, signals };
}

describe('injectFault', ({ it }) => {
  // Gateways are stopped one after the other and one of them cuts a request. It is
  // found only if each of these stops is on record as such.
  it('records each stop of a series as a stop of its own', async t => {
    const { world, signals } = worldOf(2);
    const done: DoneFault[] = [];
    await injectFault(
      {
        kind: 'gateway-rolling-stop',
        atMs: 0,
        forMs: 1,
        target: 0,
        strength: 0,
      },
      world,
      fault => done.push(fault),
    );
    t.deepEqual(signals, ['0 SIGTERM', '1 SIGTERM']);
    t.deepEqual(
      done.map(({ kind, target }) => [kind, target.index]),
      [
        ['gateway-rolling-stop', null],
        ['gateway-stop', 0],
        ['gateway-stop', 1],
      ],
    );
    t.true(done.every(({ planned, toMs }) => planned && toMs < Infinity));
  });
});
