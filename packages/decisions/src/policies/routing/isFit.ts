import type { BackendView } from '../../blackboard/BackendView.js';
import type { RequestRecord } from '../../blackboard/RoutedRequest.js';

/**
 * Whether a server may get a request at all, whatever its load.
 *
 * @param view - the server
 * @param record - the request
 * @param nowMs - present time
 * @returns false for servers that are leaving or avoided and for those on which
 *   the request failed
 */
export function isFit(
  view: BackendView,
  record: RequestRecord,
  nowMs: number,
): boolean {
  return (
    !view.server.leaving &&
    view.avoidUntilMs <= nowMs &&
    !record.failedOn.has(view.server.id)
  );
}
