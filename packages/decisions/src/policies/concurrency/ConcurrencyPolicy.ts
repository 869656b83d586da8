import type { BackendView } from '../../blackboard/BackendView.js';
import type { RequestRecord } from '../../blackboard/RoutedRequest.js';
import type { SlotLimit } from '../routing/RoutingPolicy.js';

/**
 * Limits this instance's requests on each server and adapts the limits to
 * observed latency.
 */
export interface ConcurrencyPolicy {
  /** Limit of a server for a given request. */
  readonly slots: SlotLimit;
  /**
   * Whether the pool has room for the tier of a request beside higher tiers.
   */
  readonly mayStart: (
    record: RequestRecord,
    views: readonly BackendView[],
  ) => boolean;
  /** Adapts the limit of a server; called for each server on each tick. */
  readonly adapt: (view: BackendView) => void;
}
