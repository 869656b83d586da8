import type {
  AttemptResult,
  BackendLoad,
  GatewayAttempt,
} from '@jujubecroft/decisions';
import { candidatesFor, mayWriteAgain } from '@jujubecroft/decisions';
import type { BackendServerId } from '@jujubecroft/types';

import type { RequestState } from './RequestState.js';

type TriedState = Pick<RequestState, 'context' | 'execution' | 'request'>;

function candidatesOf({
  context,
  request,
}: TriedState): readonly BackendLoad[] {
  return candidatesFor(context.router.board, request);
}

/** Returns the replicas that have run a request and may run it again. */
export function returnReplicas(state: TriedState): readonly BackendLoad[] {
  return candidatesOf(state).filter(({ replica }) =>
    state.execution.mayReturnTo(replica.id),
  );
}

/**
 * Returns the replicas that the next attempt of a request may be placed at: those that have
 * not been tried, unless the attempts of its route are used up; if there are none, those that
 * it may go back to.
 */
export function nextReplicas(state: TriedState): readonly BackendLoad[] {
  const { execution, request } = state;
  const untried =
    execution.replicas < request.route.maxAttempts
      ? candidatesOf(state).filter(
          ({ replica }) => !execution.tried.has(replica.id),
        )
      : [];
  return untried.length > 0 ? untried : returnReplicas(state);
}

/** Returns the replicas that the next attempt of a request must not be placed at. */
export function excludedReplicas(
  state: TriedState,
): ReadonlySet<BackendServerId> {
  const { tried } = state.execution;
  if (tried.size === 0) {
    return tried;
  }
  const next = new Set(nextReplicas(state).map(({ replica }) => replica.id));
  return new Set(
    [...tried, ...candidatesOf(state).map(({ replica }) => replica.id)].filter(
      id => !next.has(id),
    ),
  );
}

/**
 * Allows a request to go back to the replica of an attempt that was withdrawn for another one.
 * A replica that was left for its silence has to be likely to write again.
 *
 * @param state - shared by all attempts of the request
 * @param attempt - the attempt, which has ended
 * @param result - how it ended
 */
export function allowReturn(
  { context, execution }: TriedState,
  { load: { replica, lastByteMs } }: GatewayAttempt,
  result: AttemptResult,
): void {
  if (result.kind !== 'withdrawn') {
    return;
  }
  if (result.isUnsent === true) {
    execution.release(replica.id);
    return;
  }
  execution.allowReturn(replica.id, () => {
    const { board } = context.router;
    const load = board.backends.get(replica.id);
    return (
      result.reason === 'answeredElsewhere' ||
      (load !== undefined && mayWriteAgain(board, load, lastByteMs))
    );
  });
}
