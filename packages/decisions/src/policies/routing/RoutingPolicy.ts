import type { CandidateView } from '@jujubecroft/types';

import type { BackendView } from '../../blackboard/BackendView.js';
import type { RequestRecord } from '../../blackboard/RoutedRequest.js';

/** The chosen server, if any, and the means to explain the choice. */
export interface RoutingChoice {
  readonly view: BackendView | undefined;
  /**
   * How every candidate was evaluated; costly, so called only while somebody
   * watches decisions.
   */
  readonly candidates: () => readonly CandidateView[];
}

/**
 * Maximum number of requests that this instance may have in flight on a server,
 * as it applies to a given request.
 */
export type SlotLimit = (view: BackendView, record: RequestRecord) => number;

/** Chooses a backend server for one request. */
export type RoutingPolicy = (
  record: RequestRecord,
  views: readonly BackendView[],
  slots: SlotLimit,
) => RoutingChoice;
