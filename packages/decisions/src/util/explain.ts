import type { Decision } from '@jujubecroft/types';

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { RequestRecord } from '../blackboard/RoutedRequest.js';

/**
 * Publishes a decision about a request.
 *
 * @param board - blackboard that provides clock, instance and effects
 * @param record - the request
 * @param decision - the decision and the values that it is based on
 */
export function explain(
  board: Blackboard,
  record: RequestRecord,
  decision: Decision,
): void {
  board.effects.explain({
    atMs: board.clock(),
    instance: board.placement.instance,
    request: record.request.id,
    organisation: record.request.organisation,
    requestClass: record.rules.id,
    decision,
  });
}
