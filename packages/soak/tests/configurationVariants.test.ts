import { createRandom } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type { ConfigurationVariant } from '../src/configurationVariants.js';
import { nextVariant, REGULAR_VARIANT } from '../src/configurationVariants.js';
import { changeInSeries } from '../src/faults/changeInSeries.js';
import type { SoakConfiguration, SoakStore } from '../src/SoakEnvironment.js';
import { SoakOperator } from '../src/SoakOperator.js';

/** Returns an operator and the configurations that it writes. */
function createOperator(): {
  readonly operator: SoakOperator;
  readonly written: readonly SoakConfiguration[];
} {
  const written: SoakConfiguration[] = [];
  const store = {
    writeConfiguration: (cfg: SoakConfiguration) => written.push(cfg),
  } as unknown as SoakStore;
  return { operator: new SoakOperator(store, createRandom(1)), written };
}

describe('configuration series', ({ it }) => {
  it('change every respect, one at a time', t => {
    const random = createRandom(1);
    const variants: ConfigurationVariant[] = [REGULAR_VARIANT];
    for (let change = 0; change < 200; change += 1) {
      variants.push(nextVariant(variants.at(-1) ?? REGULAR_VARIANT, random));
    }
    const numberOf = (read: (variant: ConfigurationVariant) => unknown) =>
      new Set(variants.map(read)).size;
    t.is(
      numberOf(({ sharing }) => sharing),
      4,
    );
    t.is(
      numberOf(({ droppedKind }) => droppedKind),
      5,
    );
    t.is(
      numberOf(({ timeoutMs }) => timeoutMs),
      4,
    );
    t.is(
      numberOf(({ idleTimeoutMs }) => idleTimeoutMs),
      3,
    );
    t.is(
      numberOf(({ hasSecondKeys }) => hasSecondKeys),
      2,
    );
  });

  it('end with the regular configuration', async t => {
    const variants: ConfigurationVariant[] = [];
    await changeInSeries(
      {
        kind: 'configuration-series',
        atMs: 0,
        forMs: 300,
        target: 3,
        strength: 0,
      },
      variant => variants.push(variant),
    );
    t.true(variants.length > 1);
    t.is(variants.at(-1), REGULAR_VARIANT);
  });

  it('move and drop routes, and leave out a service without routes', t => {
    const { operator, written } = createOperator();
    operator.configure({
      ...REGULAR_VARIANT,
      sharing: 'merged',
      droppedKind: 'safe',
    });
    const routes = written.flatMap(cfg => cfg.routes);
    const shares = routes.flatMap(route => route.shares);
    t.deepEqual(written[0]?.services, ['stock']);
    t.deepEqual([...new Set(shares.map(({ service }) => service))], ['stock']);
    t.false(routes.some(({ kind }) => kind === 'safe'));
    t.true(routes.some(({ kind }) => kind === 'probe'));
  });

  // A key that was removed must not be used again when there is a second one later.
  it('have callers use second keys as long as these are in force', t => {
    const { operator, written } = createOperator();
    const keys = [false, true, true, false, true].map(hasSecondKeys => {
      operator.configure({ ...REGULAR_VARIANT, hasSecondKeys });
      const key = operator.keyOf('org-1');
      t.true(written.at(-1)?.keys.get('org-1')?.includes(key));
      return key;
    });
    t.is(keys[0], 'key-1');
    t.is(keys[3], 'key-1');
    t.is(keys[1], keys[2]);
    t.is(new Set(keys).size, 3);
  });
});
