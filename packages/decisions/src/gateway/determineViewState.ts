import type { GatewayBoard } from './GatewayBoard.js';

/**
 * Age up to which a view is used, as a share of the time within which a change
 * must be in force. The remainder covers the transit of a request to its
 * replica.
 */
const USABLE_AGE_SHARE = 0.9;

/** State of an instance's view of the configuration and replicas. */
export type ViewState =
  /** Another instance has a current view, but this one doesn't. */
  | 'behind'
  | 'current'
  /** No instance has a current view, since the store is unavailable. */
  | 'outage'
  /** It is not known whether another instance has a current view. */
  | 'unknown';

/**
 * Returns an upper bound on the age of an instance's view.
 *
 * @param board - the blackboard
 * @returns the age in milliseconds of the older part, configuration or replicas
 */
export function viewAgeMs({
  replicas,
  storeClock,
  configurationAsOfMs,
}: GatewayBoard): number {
  return Math.max(replicas.ageMs, storeClock.ageOf(configurationAsOfMs));
}

/**
 * Determines whether an instance's view is recent enough to place requests.
 *
 * @param board - the blackboard
 * @param boundMs - time within which a change must be in force, in milliseconds
 * @returns the state of the view
 */
export function determineViewState(
  board: GatewayBoard,
  boundMs: number,
): ViewState {
  const usableMs = USABLE_AGE_SHARE * boundMs;
  if (viewAgeMs(board) <= usableMs) {
    return 'current';
  }
  if (board.storeClock.ageOf(board.peersAsOfMs) <= usableMs) {
    return 'behind';
  }
  return board.outage.isConfirmed(board.otherMembers) ? 'outage' : 'unknown';
}
