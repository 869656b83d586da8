import { rotated } from '@jujubecroft/decisions';

import type { GatewayContext } from '../GatewayContext.js';
import { isReady, ownAddress } from '../GatewayContext.js';

/** Maximum number of addresses in one answer; callers accept no more. */
const MAX_ADDRESSES = 64;

/** Minimum share of serving instances that must be live for suspects to be left out. */
const MIN_LIVE_SHARE = 0.5;

/**
 * Chooses the addresses that a caller may connect to.
 *
 * The list of other instances starts at a random position; otherwise the same sixty of
 * two hundred instances would get all callers. Suspects are left out while most of the
 * fleet is live, since a caller that picks a dead instance loses a second on the
 * connection attempt. If most instances are suspects, this one is more likely to be cut
 * off itself, so they are included, after the live ones.
 *
 * @param context - context of the instance that answers
 * @returns addresses of the instances that accept callers, this one first
 */
export function chooseAddresses(context: GatewayContext): readonly string[] {
  const { membership } = context;
  const own = isReady(context) ? [ownAddress(context)] : [];
  const serving = membership.serving.filter(
    ({ callerAddress }) => callerAddress !== '',
  );
  const live = serving.filter(({ state }) => state === 'live');
  const suspects = serving.filter(({ state }) => state === 'suspect');
  const areMostLive = live.length >= MIN_LIVE_SHARE * serving.length;
  const others = [
    ...rotated(live, context.router.board.random),
    ...(areMostLive ? [] : suspects),
  ].map(({ callerAddress }) => callerAddress);
  return [...own, ...others].slice(0, MAX_ADDRESSES);
}

/**
 * Maximum time for which callers are told to keep addresses, in milliseconds. Some keep
 * them three times as long, and a stopping instance leaves callers eight seconds to
 * drop its address.
 */
const MAX_ADDRESS_AGE_MS = 2000;

/** @returns the time for which callers may keep the addresses, in milliseconds */
export function addressAgeMs({ settings }: GatewayContext): number {
  return Math.min(MAX_ADDRESS_AGE_MS, settings.maxAddressAgeMs);
}
