import { describe } from '@jujubecroft/testing';
import type { TableStore, TableWrite } from '@jujubecroft/stores';
import { Table } from '@jujubecroft/stand-ins';
import type { IdempotencyKey, OrganisationId } from '@jujubecroft/types';
import { brand, isRouterError, routerError } from '@jujubecroft/types';

import { ClaimBook, WriteBatcher } from '../../src/index.js';

const ORG = brand<OrganisationId>('org');
const KEY = brand<IdempotencyKey>('key');
const REPLY = { status: 201, headers: {}, bodyBase64: 'b2s=' };

/** A table whose calls can be made to fail before or after their effect. */
class FaultyTable implements TableStore {
  readonly table = new Table();
  transactions = 0;
  mode: 'down' | 'ok' | 'replyLost' = 'ok';
  readsFail = false;

  readonly get: TableStore['get'] = key =>
    this.readsFail ? this.#fail() : Promise.resolve(this.table.get(key));
  readonly scan: TableStore['scan'] = options =>
    Promise.resolve(this.table.scan(options));
  readonly transact: TableStore['transact'] = (
    writes: readonly TableWrite[],
  ) => {
    this.transactions += 1;
    if (this.mode === 'down') {
      return this.#fail();
    }
    const result = this.table.transact(writes);
    return this.mode === 'replyLost' ? this.#fail() : Promise.resolve(result);
  };

  #fail(): Promise<never> {
    return Promise.reject(routerError('platformUnavailable', 'no reply'));
  }
}

function bookOn(table: TableStore, clock = () => 0): ClaimBook {
  const batcher = new WriteBatcher(table, () => 0);
  return new ClaimBook(table, write => batcher.write(write), clock);
}

async function codeOf(work: Promise<unknown>): Promise<string> {
  try {
    await work;
    return 'none';
  } catch (err) {
    return isRouterError(err) ? `${err.code} ${err.ran}` : String(err);
  }
}

describe('ClaimBook', suite => {
  suite.describe('repeats', ({ it }) => {
    it('lets one of two instances run a key', async t => {
      // A price is changed twice. The caller's first call hung, so it repeated
      // it at another instance while the first was still at work.
      const table = new FaultyTable();
      const results = await Promise.all([
        bookOn(table).claim(ORG, KEY, 'a'),
        bookOn(table).claim(ORG, KEY, 'b'),
      ]);
      t.deepEqual(results.map(({ kind }) => kind).sort(), [
        'claimed',
        'inProgress',
      ]);
    });

    it('gives the stored reply to a repeat elsewhere', async t => {
      const table = new FaultyTable();
      const first = bookOn(table);
      await first.claim(ORG, KEY, 'a');
      await first.complete(ORG, KEY, 'a', REPLY);
      const repeat = await bookOn(table).claim(ORG, KEY, 'b');
      t.deepEqual(repeat, { kind: 'done', reply: REPLY });
    });

    it('refuses a repeat whose reply was too large to keep', async t => {
      const table = new FaultyTable();
      const book = bookOn(table);
      await book.claim(ORG, KEY, 'a');
      const bodyBase64 = 'A'.repeat(10_000);
      await book.complete(ORG, KEY, 'a', { ...REPLY, bodyBase64 });
      t.deepEqual(await book.claim(ORG, KEY, 'b'), {
        kind: 'done',
        reply: null,
      });
    });

    it('lets a key run after its claim was given back', async t => {
      const table = new FaultyTable();
      const book = bookOn(table);
      await book.claim(ORG, KEY, 'a');
      await book.release(ORG, KEY);
      t.is((await book.claim(ORG, KEY, 'b')).kind, 'claimed');
    });

    it('keeps organisations with equal keys apart', async t => {
      const book = bookOn(new FaultyTable());
      await book.claim(ORG, KEY, 'a');
      const other = await book.claim(brand<OrganisationId>('other'), KEY, 'b');
      t.is(other.kind, 'claimed');
    });
  });

  suite.describe('store faults', ({ it }) => {
    it('recognises its own claim when only the reply was lost', async t => {
      // A visit sync is refused as a duplicate of itself. Its claim took effect
      // in the table but the reply to it never came.
      const table = new FaultyTable();
      table.mode = 'replyLost';
      t.is((await bookOn(table).claim(ORG, KEY, 'a')).kind, 'claimed');
    });

    it('refuses as not run while the table is down', async t => {
      const table = new FaultyTable();
      table.mode = 'down';
      t.is(
        await codeOf(bookOn(table).claim(ORG, KEY, 'a')),
        'claimUnavailable no',
      );
    });

    it('gives back a claim of unknown fate when the table returns', async t => {
      // A key stays refused for ever although nothing ran. The claim had taken
      // effect, both the reply and the read after it were lost, and the request
      // was refused as not run.
      const table = new FaultyTable();
      const book = bookOn(table);
      table.mode = 'replyLost';
      table.readsFail = true;
      t.is(await codeOf(book.claim(ORG, KEY, 'a')), 'claimUnavailable no');
      table.mode = 'ok';
      table.readsFail = false;
      await book.releaseAbandoned();
      t.is((await book.claim(ORG, KEY, 'b')).kind, 'claimed');
    });

    it('waits for a claim that lands after its request was refused', async t => {
      // A key stays refused for ever although nothing ran. The collector that
      // wrote the claim was slow, so the row came after the first look for it.
      const table = new FaultyTable();
      const late: (() => void)[] = [];
      const book = new ClaimBook(
        table,
        write => {
          late.push(() => {
            table.table.transact([write]);
          });
          return Promise.reject(routerError('platformUnavailable', 'slow'));
        },
        () => 0,
      );
      t.is(await codeOf(book.claim(ORG, KEY, 'a')), 'claimUnavailable no');
      await book.releaseAbandoned();
      late.forEach(land => {
        land();
      });
      await book.releaseAbandoned();
      t.is((await bookOn(table).claim(ORG, KEY, 'b')).kind, 'claimed');
    });

    it('does not give back a claim that another request made since', async t => {
      const table = new FaultyTable();
      const book = bookOn(table);
      table.mode = 'down';
      table.readsFail = true;
      await codeOf(book.claim(ORG, KEY, 'a'));
      table.mode = 'ok';
      table.readsFail = false;
      await bookOn(table).claim(ORG, KEY, 'b');
      await book.releaseAbandoned();
      t.is((await book.claim(ORG, KEY, 'c')).kind, 'inProgress');
    });
  });

  suite.describe('cost', ({ it }) => {
    it('shares transactions between claims that come together', async t => {
      const table = new FaultyTable();
      const book = bookOn(table);
      const claims = Array.from({ length: 65 }, (_, index) =>
        book.claim(ORG, brand<IdempotencyKey>(`k${index}`), `${index}`),
      );
      const results = await Promise.all(claims);
      t.true(results.every(({ kind }) => kind === 'claimed'));
      t.is(table.transactions, 2);
    });
  });
});
