import type { Evidence, InjectedFault, SentRequest } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { SoakInvariant } from './SoakInvariant.js';

/** Requests sent later than this after the stop may reach a gateway about to exit. */
const ACCEPTED_AFTER_STOP_MS = 3000;
/** Share of the grace period within which the execution must have ended to count. */
const EXECUTION_SHARE = 5 / 6;

/** Whether no fault other than planned operations affected the path of a request. */
function isUndisturbed(
  request: SentRequest,
  endedMs: number,
  { bounds }: Evidence,
  index: EvidenceIndex,
): boolean {
  const faults = index.faultsIn(
    ({ component, index: targetIndex }, { planned }) =>
      !planned &&
      (component === 'replica' ||
        component === 'store' ||
        targetIndex === null ||
        targetIndex === request.gateway),
    request.sentMs - bounds.faultFreeMs,
    endedMs,
  );
  return faults.length === 0;
}

/** Returns the ids of requests that a stop cut although they could have finished. */
function cutRequestsOf(
  stop: InjectedFault,
  evidence: Evidence,
  index: EvidenceIndex,
): readonly string[] {
  const { sent, answers, bounds } = evidence;
  const lastEndMs = stop.fromMs + EXECUTION_SHARE * bounds.graceMs;
  return sent
    .filter(({ gateway }) => gateway === stop.target.index)
    .filter(({ sentMs }) => sentMs <= stop.fromMs + ACCEPTED_AFTER_STOP_MS)
    .filter(request => {
      const answer = answers.get(request.id);
      const executions = index.executionsOf(request.id);
      return (
        answer !== undefined &&
        answer.endedMs >= stop.fromMs &&
        answer.leftMs === null &&
        !answer.whole &&
        executions.length > 0 &&
        executions.every(({ endsMs }) => endsMs <= lastEndMs) &&
        answer.endedMs < request.sentMs + request.timeLimitMs &&
        isUndisturbed(request, answer.endedMs, evidence, index)
      );
    })
    .map(({ id }) => id);
}

/** A planned stop cuts no request that can finish within the grace period. */
export const gracefulStops: SoakInvariant = {
  name: 'graceful-stops',
  description:
    'A gateway that is asked to stop finishes every request that a replica is executing.',
  timed: true,
  check: (evidence, index) =>
    evidence.faults
      .filter(({ kind }) => kind === 'gateway-stop')
      .flatMap(stop =>
        cutRequestsOf(stop, evidence, index).map(request => ({
          request,
          what: `cut by the stop of gateway ${stop.target.index ?? ''}`,
        })),
      ),
};
