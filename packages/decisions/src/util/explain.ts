import type { Decision } from '@jujubecroft/types';

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { RequestRecord } from '../blackboard/RoutedRequest.js';

/**
 * Publishes a decision together with the request it concerns.
 *
 * @param board - the blackboard whose clock and effects are used
 * @param record - the request
 * @param decision - what was decided and from which numbers
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
