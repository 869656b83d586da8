import { rotated } from '@jujubecroft/decisions';

import type { GatewayContext } from '../GatewayContext.js';
import { isReady, ownAddress } from '../GatewayContext.js';

/** Addresses in one answer, at most; callers take no more. */
const MAX_ADDRESSES = 64;

/** Part of the serving instances that must be live for suspects to be left out. */
const SOUND_SHARE = 0.5;

/**
 * Chooses the addresses that a caller may connect to.
 *
 * Others begin at a random place, or of two hundred instances the same sixty would
 * get all callers. Suspects come last, and not at all while most of the fleet is sound: a caller
 * that picks a dead one waits a second for its connection. Where most are suspects,
 * this instance is rather cut off itself, and names them all.
 *
 * @param context - of the instance that is asked
 * @returns caller addresses of the instances that take callers, this one first
 */
export function chooseAddresses(context: GatewayContext): readonly string[] {
  const { membership } = context;
  const own = isReady(context) ? [ownAddress(context)] : [];
  const serving = membership.serving.filter(
    ({ callerAddress }) => callerAddress !== '',
  );
  const live = serving.filter(({ state }) => state === 'live');
  const suspects = serving.filter(({ state }) => state === 'suspect');
  const isSound = live.length >= SOUND_SHARE * serving.length;
  const others = [
    ...rotated(live, context.router.board.random),
    ...(isSound ? [] : suspects),
  ].map(({ callerAddress }) => callerAddress);
  return [...own, ...others].slice(0, MAX_ADDRESSES);
}

/**
 * Time for which callers keep addresses. Some keep them three times as long, and
 * an instance that stops has eight seconds to be forgotten.
 */
const ADDRESS_AGE_MS = 2000;

/** @returns milliseconds for which callers may keep the addresses that they get */
export function addressAgeMs({ settings }: GatewayContext): number {
  return Math.min(ADDRESS_AGE_MS, settings.maxAddressAgeMs);
}
