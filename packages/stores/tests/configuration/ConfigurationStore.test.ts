import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';
import { Table } from '@jujubecroft/stand-ins';
import type { Configuration, Entity, ModelId } from '@jujubecroft/types';
import {
  brand,
  createRandom,
  EMPTY_CONFIGURATION,
  isRouterError,
  routerError,
} from '@jujubecroft/types';

import type {
  ChangeRequest,
  ObjectStore,
  TableStore,
} from '../../src/index.js';
import { ConfigurationStore } from '../../src/index.js';

const NO_OBJECTS: ObjectStore = {
  read: () => Promise.resolve(null),
  write: () => Promise.resolve(),
};

/** Simulated outcome of one transaction. */
type TransactionOutcome = 'lost' | 'ok' | 'replyLost';

function tableOn(
  table: Table,
  nextOutcome: () => TransactionOutcome,
): TableStore {
  return {
    get: key => Promise.resolve(table.get(key)),
    scan: options => Promise.resolve(table.scan(options)),
    transact: writes => {
      const simulated = nextOutcome();
      const result = simulated === 'lost' ? null : table.transact(writes);
      return result && simulated === 'ok'
        ? Promise.resolve(result)
        : Promise.reject(routerError('platformUnavailable', 'no reply'));
    },
  };
}

const model = (id: string, version: string): Entity => ({
  kind: 'modelVersion',
  id: brand<ModelId>(id),
  version,
});

function change(
  id: string,
  version: string,
  ifRevision: number | null,
  changeId = `${id}-${version}`,
): ChangeRequest {
  return {
    changeId,
    operator: 'ana',
    atMs: 1,
    action: 'declare',
    kind: 'modelVersion',
    id,
    ifRevision,
    change: () => model(id, version),
  };
}

const codeOf = async (work: Promise<unknown>): Promise<string> => {
  try {
    await work;
    return 'none';
  } catch (err) {
    return isRouterError(err) ? err.code : String(err);
  }
};

const newStore = (nextOutcome: () => TransactionOutcome = () => 'ok') => {
  const table = new Table();
  return new ConfigurationStore(tableOn(table, nextOutcome), NO_OBJECTS);
};

describe('ConfigurationStore', suite => {
  suite.describe('racing operators', ({ it }) => {
    it('refuses the second change and includes the first in the error', async t => {
      // Guards against a silently lost update: two operators read the same revision of
      // a model, both change it, and the later write overwrites the earlier one.
      const store = newStore();
      await store.commit(change('m', '1', 0));
      await store.commit(change('m', '2', 1));
      const late = store.commit(change('m', '3', 1));
      const err = await t.throwsAsync(late);
      t.true(err.message.includes('"version":"2"'), err.message);
      const cfg = await store.update(EMPTY_CONFIGURATION);
      t.is(cfg.modelVersions[0]?.version, '2');
    });

    it('commits concurrent changes to different entities', async t => {
      const store = newStore();
      const outcomes = await Promise.all(
        ['a', 'b', 'c', 'd'].map(id => store.commit(change(id, '1', 0))),
      );
      t.deepEqual(
        outcomes.map(({ revision }) => revision).sort(),
        [1, 2, 3, 4],
      );
      const cfg = await store.update(EMPTY_CONFIGURATION);
      t.is(cfg.modelVersions.length, 4);
      t.is(cfg.revision, 4);
    });

    it('refuses to create an entity that exists', async t => {
      const store = newStore();
      await store.commit(change('m', '1', 0));
      const code = await codeOf(store.commit(change('m', '2', 0)));
      t.is(code, 'changeConflict');
    });
  });

  suite.describe('lost replies', ({ it }) => {
    it('recognises a repeated change whose first reply was lost', async t => {
      // Guards against duplicate audit entries: the first write took effect but its
      // reply was lost, so the operator sees a timeout and repeats the change.
      const pending: TransactionOutcome[] = ['replyLost', 'ok'];
      const store = newStore(() => pending.shift() ?? 'ok');
      t.is(
        await codeOf(store.commit(change('m', '1', 0))),
        'platformUnavailable',
      );
      const outcome = await store.commit(change('m', '1', 0));
      t.deepEqual(outcome, { revision: 1, repeated: true });
      t.is((await store.audit(0, 10)).length, 1);
    });

    it('keeps one audit entry per revision when writes or replies are lost', async t => {
      const property = fc.asyncProperty(fc.integer(), async seed => {
        const random = createRandom(seed);
        const choices: readonly TransactionOutcome[] = [
          'ok',
          'lost',
          'replyLost',
        ];
        const store = newStore(() => choices[Math.floor(random() * 3)] ?? 'ok');
        for (let index = 0; index < 12; index += 1) {
          const id = `m${Math.floor(random() * 3)}`;
          const request = change(id, `${index}`, null);
          let code = await codeOf(store.commit(request));
          while (code === 'platformUnavailable') {
            code = await codeOf(store.commit(request));
          }
        }
        const entries = await store.audit(0, 100);
        return (
          entries.length === 12 &&
          entries.every(({ revision }, index) => revision === index + 1)
        );
      });
      const result = await fc.check(property, { seed: 3, numRuns: 40 });
      t.false(result.failed, fc.defaultReportMessage(result) ?? '');
    });
  });

  suite.describe('catching up', ({ it }) => {
    it('reaches the same configuration change by change as by loading it whole', async t => {
      const store = newStore();
      let stepwise: Configuration = EMPTY_CONFIGURATION;
      for (let index = 1; index <= 6; index += 1) {
        await store.commit(change(`m${index % 3}`, `${index}`, null));
        stepwise = await store.update(stepwise);
      }
      const whole = await store.update(EMPTY_CONFIGURATION);
      const sorted = (cfg: Configuration) =>
        cfg.modelVersions.map(({ id, version }) => `${id}=${version}`).sort();
      t.deepEqual(sorted(stepwise), sorted(whole));
      t.is(stepwise.revision, whole.revision);
    });

    it('records the operator and the entity before and after each change', async t => {
      const store = newStore();
      await store.commit(change('m', '1', 0));
      await store.commit(change('m', '2', 1));
      const [, second] = await store.audit(0, 10);
      t.is(second?.operator, 'ana');
      t.deepEqual(second?.before, model('m', '1'));
      t.deepEqual(second?.after, model('m', '2'));
    });
  });
});
