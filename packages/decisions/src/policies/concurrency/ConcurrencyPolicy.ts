import type { BackendView } from '../../blackboard/BackendView.js';
import type { SlotLimit } from '../routing/RoutingPolicy.js';

/** Bounds own requests on a server and adapts the bound to what latency shows. */
export interface ConcurrencyPolicy {
  readonly slots: SlotLimit;
  /** Called on each tick for each server. */
  readonly adapt: (view: BackendView) => void;
}
