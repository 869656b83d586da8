import type { InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import {
  isReader,
  shouldQueryReader,
  rankOf,
  storeReadAgeMs,
  readersOf,
} from '../../src/gateway/readDuty.js';

const BOUND_MS = 3000;
const FLEET = Array.from({ length: 60 }, (_, index) =>
  brand<InstanceId>(`entry-${index}`),
);

const queriesReader = (rank: number, ageMs: number, boundMs: number): boolean =>
  !isReader(rank) && shouldQueryReader(ageMs, boundMs);
const shouldRead = (rank: number, ageMs: number, boundMs: number): boolean =>
  ageMs >= storeReadAgeMs(rank, boundMs);

describe('readDuty', ({ it }) => {
  // Guards against superfluous reads of the store. In a fleet of two hundred,
  // most views were older than two seconds now and then, and each of these
  // instances read the store: three thousand calls in half a minute, half of
  // them for what a reader could have reported.
  it('selects the same readers on all instances, which others query before they read the store', t => {
    const readers = readersOf(FLEET);
    t.deepEqual(readersOf([...FLEET].reverse()), readers);
    FLEET.forEach(id => {
      const rank = rankOf(id, FLEET);
      t.is(readers.includes(id), storeReadAgeMs(rank, BOUND_MS) === 0);
      const queryAgeMs = 0.31 * BOUND_MS;
      t.is(queriesReader(rank, queryAgeMs, BOUND_MS), !readers.includes(id));
      t.false(!readers.includes(id) && shouldRead(rank, queryAgeMs, BOUND_MS));
    });
  });

  it('gives every instance of a fleet of sixty a distinct rank', t => {
    const ranks = FLEET.map(id => rankOf(id, FLEET)).sort((a, b) => a - b);
    t.deepEqual(
      ranks,
      FLEET.map((_, index) => index),
    );
  });

  it('lets only the first two instances read while the view is recent', t => {
    const reading = FLEET.filter(id =>
      shouldRead(rankOf(id, FLEET), 500, BOUND_MS),
    );
    t.is(reading.length, 2);
  });

  // In a fleet of sixty, it takes a second or more until all instances know
  // that nothing has changed. If each of them read the store at that age, each
  // would call it several times per second, and more often the busier the
  // instances are.
  it('lets only the readers read at the usual age of views in a large fleet', t => {
    const reading = FLEET.filter(id =>
      shouldRead(rankOf(id, FLEET), 1300, BOUND_MS),
    );
    t.is(reading.length, 2);
  });

  it('lets all instances read before a change must be in force', t => {
    const reading = FLEET.filter(id =>
      shouldRead(rankOf(id, FLEET), 0.66 * BOUND_MS, BOUND_MS),
    );
    t.is(reading.length, FLEET.length);
  });
});

describe('readDuty in a fleet of thirty', ({ it }) => {
  const ids = Array.from({ length: 30 }, (_, index) =>
    brand<InstanceId>(`n-${index}`),
  );

  it('gives every instance a distinct rank', t => {
    const ranks = ids.map(id => rankOf(id, ids)).sort((a, b) => a - b);
    t.deepEqual(
      ranks,
      ids.map((_, index) => index),
    );
  });

  it('lets two instances read, and all others once their view is old', t => {
    // If the readers die or lose the store, the others must notice before a
    // change is due everywhere.
    const readingRecent = ids.filter(id =>
      shouldRead(rankOf(id, ids), 300, 2000),
    );
    const readingOld = ids.filter(id =>
      shouldRead(rankOf(id, ids), 1400, 2000),
    );
    t.is(readingRecent.length, 2);
    t.is(readingOld.length, ids.length);
  });
});
