import type { BackendView } from '../../blackboard/BackendView.js';
import type { RequestRecord } from '../../blackboard/RoutedRequest.js';
import type { SlotLimit } from '../routing/RoutingPolicy.js';

/** Bounds own requests on a server and adapts the bound to what latency shows. */
export interface ConcurrencyPolicy {
  readonly slots: SlotLimit;
  /** Whether the pool has room for the tier of a request, beside higher tiers. */
  readonly mayStart: (
    record: RequestRecord,
    views: readonly BackendView[],
  ) => boolean;
  /** Called on each tick for each server. */
  readonly adapt: (view: BackendView) => void;
}
