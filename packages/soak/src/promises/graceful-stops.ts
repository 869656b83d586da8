import type { DoneFault, Evidence, SentRequest } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { SoakPromise } from './SoakPromise.js';

/** Requests that come later may meet a gateway that is about to end. */
const TAKEN_AFTER_STOP_MS = 3000;
/** Share of the grace period by which the replica must have ended. */
const WORK_SHARE = 5 / 6;

/** Whether nothing but planned changes touched the way of a request. */
function isUndisturbed(
  request: SentRequest,
  endedMs: number,
  { bounds }: Evidence,
  index: EvidenceIndex,
): boolean {
  const faults = index.faultsIn(
    ({ what, index: touched }, { planned }) =>
      !planned &&
      (what === 'replica' ||
        what === 'store' ||
        touched === null ||
        touched === request.gateway),
    request.sentMs - bounds.contactMs,
    endedMs,
  );
  return faults.length === 0;
}

function cutsOf(
  stop: DoneFault,
  evidence: Evidence,
  index: EvidenceIndex,
): readonly string[] {
  const { sent, answers, bounds } = evidence;
  const lastMs = stop.fromMs + WORK_SHARE * bounds.graceMs;
  return sent
    .filter(({ gateway }) => gateway === stop.target.index)
    .filter(({ sentMs }) => sentMs <= stop.fromMs + TAKEN_AFTER_STOP_MS)
    .filter(request => {
      const answer = answers.get(request.id);
      const runs = index.runsOf(request.id);
      return (
        answer !== undefined &&
        answer.endedMs >= stop.fromMs &&
        answer.leftMs === null &&
        !answer.whole &&
        runs.length > 0 &&
        runs.every(({ endsMs }) => endsMs <= lastMs) &&
        answer.endedMs < request.sentMs + request.timeLimitMs &&
        isUndisturbed(request, answer.endedMs, evidence, index)
      );
    })
    .map(({ id }) => id);
}

/** A planned stop cuts off nothing that can end in time. */
export const gracefulStops: SoakPromise = {
  name: 'graceful-stops',
  description:
    'A gateway that is asked to stop finishes every request that a replica works on.',
  timed: true,
  check: (evidence, index) =>
    evidence.faults
      .filter(({ kind }) => kind === 'gateway-stop')
      .flatMap(stop =>
        cutsOf(stop, evidence, index).map(request => ({
          request,
          what: `cut by the stop of gateway ${stop.target.index ?? ''}`,
        })),
      ),
};
