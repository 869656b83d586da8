import { describe } from '@jujubecroft/testing';
import type { TableStore, TableWrite } from '@jujubecroft/stores';
import { Table } from '@jujubecroft/stand-ins';
import type { IdempotencyKey, OrganisationId } from '@jujubecroft/types';
import { brand, isRouterError, routerError } from '@jujubecroft/types';

import { ClaimStore, WriteBatcher } from '../../src/index.js';

const ORGANISATION = brand<OrganisationId>('org');
const KEY = brand<IdempotencyKey>('key');
const REPLY = { status: 201, headers: {}, bodyBase64: 'b2s=' };

/**
 * A table whose writes can be made to fail before or after they take effect.
 */
class FaultyTable implements TableStore {
  readonly table = new Table();
  transactionCount = 0;
  mode: 'down' | 'ok' | 'replyLost' = 'ok';
  failReads = false;

  readonly get: TableStore['get'] = key =>
    this.failReads ? this.#fail() : Promise.resolve(this.table.get(key));
  readonly scan: TableStore['scan'] = options =>
    Promise.resolve(this.table.scan(options));
  readonly transact: TableStore['transact'] = (
    writes: readonly TableWrite[],
  ) => {
    this.transactionCount += 1;
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

function createClaimStore(table: TableStore, clock = () => 0): ClaimStore {
  const batcher = new WriteBatcher(table, () => 0);
  return new ClaimStore(table, write => batcher.write(write), clock);
}

async function outcomeOf(work: Promise<unknown>): Promise<string> {
  try {
    await work;
    return 'none';
  } catch (err) {
    return isRouterError(err) ? `${err.code} ${err.ran}` : String(err);
  }
}

describe('ClaimBook', suite => {
  suite.describe('repeated requests', ({ it }) => {
    it('lets only one of two instances claim a key', async t => {
      // Guards against running a request twice: the caller's first call hung,
      // and the caller repeated it at another instance while the first was in
      // flight.
      const table = new FaultyTable();
      const results = await Promise.all([
        createClaimStore(table).claim(ORGANISATION, KEY, 'a'),
        createClaimStore(table).claim(ORGANISATION, KEY, 'b'),
      ]);
      t.deepEqual(results.map(({ kind }) => kind).sort(), [
        'claimed',
        'inProgress',
      ]);
    });

    it('returns the stored reply to a repeat at another instance', async t => {
      const table = new FaultyTable();
      const first = createClaimStore(table);
      await first.claim(ORGANISATION, KEY, 'a');
      await first.complete(ORGANISATION, KEY, 'a', REPLY);
      const repeat = await createClaimStore(table).claim(
        ORGANISATION,
        KEY,
        'b',
      );
      t.deepEqual(repeat, { kind: 'done', reply: REPLY });
    });

    it('reports a repeat as done without a reply that was too large to store', async t => {
      const table = new FaultyTable();
      const book = createClaimStore(table);
      await book.claim(ORGANISATION, KEY, 'a');
      const bodyBase64 = 'A'.repeat(10_000);
      await book.complete(ORGANISATION, KEY, 'a', { ...REPLY, bodyBase64 });
      t.deepEqual(await book.claim(ORGANISATION, KEY, 'b'), {
        kind: 'done',
        reply: null,
      });
    });

    it('lets a key be claimed again after its claim was released', async t => {
      const table = new FaultyTable();
      const book = createClaimStore(table);
      await book.claim(ORGANISATION, KEY, 'a');
      await book.release(ORGANISATION, KEY);
      t.is((await book.claim(ORGANISATION, KEY, 'b')).kind, 'claimed');
    });

    it('keeps equal keys of different organisations apart', async t => {
      const book = createClaimStore(new FaultyTable());
      await book.claim(ORGANISATION, KEY, 'a');
      const other = await book.claim(brand<OrganisationId>('other'), KEY, 'b');
      t.is(other.kind, 'claimed');
    });
  });

  suite.describe('table faults', ({ it }) => {
    it('recognises its own claim when only the reply of the table was lost', async t => {
      // Guards against refusing a request as a duplicate of itself: its claim
      // was written, but the reply of the table was lost.
      const table = new FaultyTable();
      table.mode = 'replyLost';
      t.is(
        (await createClaimStore(table).claim(ORGANISATION, KEY, 'a')).kind,
        'claimed',
      );
    });

    it('refuses a claim as not run while the table is down', async t => {
      const table = new FaultyTable();
      table.mode = 'down';
      t.is(
        await outcomeOf(createClaimStore(table).claim(ORGANISATION, KEY, 'a')),
        'claimUnavailable no',
      );
    });

    it('releases an unconfirmed claim once the table is available again', async t => {
      // Guards against a key that is refused forever although nothing ran: the
      // claim was written, but its reply and the read after it failed, and the
      // request was refused as not run.
      const table = new FaultyTable();
      const book = createClaimStore(table);
      table.mode = 'replyLost';
      table.failReads = true;
      t.is(
        await outcomeOf(book.claim(ORGANISATION, KEY, 'a')),
        'claimUnavailable no',
      );
      table.mode = 'ok';
      table.failReads = false;
      await book.releaseUnconfirmed();
      t.is((await book.claim(ORGANISATION, KEY, 'b')).kind, 'claimed');
    });

    it('releases a claim that is written after its request was refused', async t => {
      // Guards against a key that is refused forever although nothing ran: the
      // collector was slow and wrote the claim after the first attempt to
      // release it.
      const table = new FaultyTable();
      const delayedWrites: (() => void)[] = [];
      const book = new ClaimStore(
        table,
        write => {
          delayedWrites.push(() => {
            table.table.transact([write]);
          });
          return Promise.reject(routerError('platformUnavailable', 'slow'));
        },
        () => 0,
      );
      t.is(
        await outcomeOf(book.claim(ORGANISATION, KEY, 'a')),
        'claimUnavailable no',
      );
      await book.releaseUnconfirmed();
      delayedWrites.forEach(apply => {
        apply();
      });
      await book.releaseUnconfirmed();
      t.is(
        (await createClaimStore(table).claim(ORGANISATION, KEY, 'b')).kind,
        'claimed',
      );
    });

    it('does not release a claim that another request made in the meantime', async t => {
      const table = new FaultyTable();
      const book = createClaimStore(table);
      table.mode = 'down';
      table.failReads = true;
      await outcomeOf(book.claim(ORGANISATION, KEY, 'a'));
      table.mode = 'ok';
      table.failReads = false;
      await createClaimStore(table).claim(ORGANISATION, KEY, 'b');
      await book.releaseUnconfirmed();
      t.is((await book.claim(ORGANISATION, KEY, 'c')).kind, 'inProgress');
    });
  });

  suite.describe('batching', ({ it }) => {
    it('writes concurrent claims in shared transactions', async t => {
      const table = new FaultyTable();
      const book = createClaimStore(table);
      const claims = Array.from({ length: 65 }, (_, index) =>
        book.claim(
          ORGANISATION,
          brand<IdempotencyKey>(`k${index}`),
          `${index}`,
        ),
      );
      const results = await Promise.all(claims);
      t.true(results.every(({ kind }) => kind === 'claimed'));
      t.is(table.transactionCount, 2);
    });
  });
});
