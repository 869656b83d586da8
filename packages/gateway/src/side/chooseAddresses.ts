import type { GatewayContext } from '../GatewayContext.js';
import { isReady, ownAddress } from '../GatewayContext.js';

/** Addresses in one answer, at most; callers take no more. */
const MAX_ADDRESSES = 64;

/**
 * Chooses the addresses that a caller may connect to.
 *
 * @param context - of the instance that is asked
 * @returns caller addresses of the instances that take callers, this one first
 */
export function chooseAddresses(context: GatewayContext): readonly string[] {
  const { membership } = context;
  const own = isReady(context) ? [ownAddress(context)] : [];
  const others = membership.serving
    .map(({ callerAddress }) => callerAddress)
    .filter(address => address !== '');
  return [...own, ...others].slice(0, MAX_ADDRESSES);
}
