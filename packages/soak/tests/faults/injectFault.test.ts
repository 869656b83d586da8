import { describe } from '@jujubecroft/testing';

import type { InjectedFault } from '../../src/evidence.js';
import type { FaultContext } from '../../src/faults/injectFault.js';
import { injectFault } from '../../src/faults/injectFault.js';

/** Returns a fault context whose gateways only record the signals sent to them. */
function contextOf(gateways: number): {
  readonly context: FaultContext;
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
  const context = { fleet, bounds: { graceMs: 1 } } as unknown as FaultContext;
  return { context, signals };
}

describe('injectFault', ({ it }) => {
  // When gateways are stopped one after another and one of them cuts a request, the
  // check on graceful stops finds it only if each stop is recorded separately.
  it('records each stop of a rolling stop as a separate fault', async t => {
    const { context, signals } = contextOf(2);
    const started: InjectedFault[] = [];
    await injectFault(
      {
        kind: 'gateway-rolling-stop',
        atMs: 0,
        forMs: 1,
        target: 0,
        strength: 0,
      },
      context,
      fault => started.push(fault),
    );
    t.deepEqual(signals, ['0 SIGTERM', '1 SIGTERM']);
    t.deepEqual(
      started.map(({ kind, target }) => [kind, target.index]),
      [
        ['gateway-rolling-stop', null],
        ['gateway-stop', 0],
        ['gateway-stop', 1],
      ],
    );
    t.true(started.every(({ planned, toMs }) => planned && toMs < Infinity));
  });
});
