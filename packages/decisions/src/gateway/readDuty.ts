import type { InstanceId } from '@jujubecroft/types';

import { compareHashed, toHashedId } from '../util/byHash.js';

/**
 * Number of instances that read the store continuously; the second is a backup.
 */
const READER_COUNT = 2;
/**
 * Age of the view from which other instances query a reader, as a share of the
 * time within which changes must be in force.
 */
const QUERY_AGE_SHARE = 0.3;
/**
 * Age of the view from which other instances read the store as well, as a share
 * of the same time.
 */
const READ_AGE_SHARE = 0.45;
/**
 * Additional delay for each further instance, so that few of them read at once.
 */
const STAGGER_MS = 60;
/** Upper limit of that delay, as a share of the same time. */
const MAX_STAGGER_SHARE = 0.2;

/**
 * Orders that were computed before, by the list of instances. An idle instance needs
 * them in each round and each duty step, and the list changes rarely.
 */
const orders = new WeakMap<readonly InstanceId[], readonly InstanceId[]>();

/** Returns the instances in order of rank, the same at all instances. */
function inRankOrder(live: readonly InstanceId[]): readonly InstanceId[] {
  const known = orders.get(live);
  if (known) {
    return known;
  }
  const order = live
    .map(id => ({ ...toHashedId(id), instance: id }))
    .sort(compareHashed)
    .map(({ instance }) => instance);
  orders.set(live, order);
  return order;
}

/**
 * Returns the rank of an instance in an order that all instances compute alike,
 * from hashes of their ids.
 *
 * @param self - this instance
 * @param live - live instances, with or without this one; not changed afterwards
 * @returns the rank, 0 for the first
 */
export function rankOf(self: InstanceId, live: readonly InstanceId[]): number {
  const order = inRankOrder(live);
  const rank = order.indexOf(self);
  return rank < 0 ? inRankOrder([...live, self]).indexOf(self) : rank;
}

/**
 * Returns the instances that read the store continuously; all instances compute
 * the same.
 *
 * @param live - live instances; not changed afterwards
 * @returns the readers in order of rank
 */
export function readersOf(live: readonly InstanceId[]): readonly InstanceId[] {
  return inRankOrder(live).slice(0, READER_COUNT);
}

/** Whether an instance of this rank reads the store continuously. */
export function isReader(rank: number): boolean {
  return rank < READER_COUNT;
}

/**
 * Whether a view is old enough to query a reader for a newer one.
 *
 * In a fleet of two hundred instances, it takes two seconds or more until all
 * of them have heard that nothing changed. Querying a reader puts no load on
 * the store, and an instance that got an answer need not read the store itself.
 *
 * @param ageMs - age of the view, in milliseconds
 * @param boundMs - time within which a change must be in force, in milliseconds
 * @returns whether to query a reader
 */
export function shouldQueryReader(ageMs: number, boundMs: number): boolean {
  return ageMs > QUERY_AGE_SHARE * boundMs;
}

/**
 * Returns the age of the view from which an instance reads the store itself.
 *
 * A few instances read the store and inform the others. If these readers die,
 * hang or lose the store, the views of the others age, and they start to read
 * the store one after another.
 *
 * @param rank - rank of the instance, 0 first
 * @param boundMs - time within which a change must be in force, in milliseconds
 * @returns the age in milliseconds; 0 for instances that read continuously
 */
export function storeReadAgeMs(rank: number, boundMs: number): number {
  if (isReader(rank)) {
    return 0;
  }
  const staggerMs = Math.min(
    MAX_STAGGER_SHARE * boundMs,
    (rank - READER_COUNT) * STAGGER_MS,
  );
  return READ_AGE_SHARE * boundMs + staggerMs;
}
