import type {
  AttemptResult,
  GatewayAttempt,
  GatewayBoard,
  GatewayRequest,
  GatewayVerdict,
  OrganisationShare,
  PlacedCandidate,
  Resumption,
} from '@jujubecroft/decisions';
import { isCrashSuspect } from '@jujubecroft/decisions';

import type { ResponseProgress } from './ResponseAssembler.js';

/** Fields of a log entry. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Log fields of the configuration in force.
 *
 * @param board - shared state of the decision logic
 * @returns its version, and for how many milliseconds it has been in force at this
 *   instance; null before the first one
 */
export function configurationFields({
  table,
  configurations,
}: Pick<GatewayBoard, 'configurations' | 'table'>): LogFields {
  return {
    configuration: table?.cfg.version ?? null,
    configurationAgeMs: table ? Math.round(configurations.ageMs) : null,
  };
}

/**
 * Log fields of an admission decision.
 *
 * @param verdict - the decision; null if there was nothing to decide
 * @returns predicted and allowed times, in milliseconds
 */
export function admissionFields(verdict: GatewayVerdict | null): LogFields {
  return verdict
    ? {
        predictedMs: Math.round(verdict.predictedMs),
        allowedMs: Math.round(verdict.allowedMs),
        predictedWholeMs: Math.round(verdict.predictedWholeMs),
        allowedWholeMs: Math.round(verdict.allowedWholeMs),
      }
    : {};
}

/**
 * Log fields of a request that is refused since its organisation uses more than
 * its share of a short capacity.
 *
 * @param share - use and share of the organisation; undefined if that isn't why
 * @returns the reason, and work per second over all instances
 */
export function shareFields(share: OrganisationShare | undefined): LogFields {
  return share
    ? {
        because: 'aboveShare',
        organisationUsePerS: Math.round(share.usePerS),
        organisationSharePerS: Math.round(share.sharePerS),
      }
    : {};
}

/**
 * Log fields of the queue at the best replica for a refused request.
 *
 * @param best - the best replica; null if there was none
 * @param request - the refused request
 * @returns the fields; none without a replica
 */
export function queueFields(
  best: PlacedCandidate | null,
  { priority }: GatewayRequest,
): LogFields {
  return best
    ? {
        backendServer: best.load.replica.id,
        tokensAhead: Math.round(best.tokensAhead),
        lessUrgentTokens: Math.round(
          best.load.lessUrgentUnreadTokens(priority),
        ),
        inFlight: best.load.totalInFlight,
      }
    : {};
}

/**
 * Log fields of the crashes that are attributed to a refused request.
 *
 * @param board - shared state of the decision logic
 * @param request - the refused request
 * @returns the fields; none without such crashes
 */
export function crashFields(
  { crashes }: GatewayBoard,
  request: GatewayRequest,
): LogFields {
  if (crashes.isEmpty) {
    return {};
  }
  const fingerprint = request.fingerprint();
  const crashed = crashes.crashesOf(fingerprint);
  const parts = crashes.parts.suspectsOf(request);
  return {
    ...(crashed.length > 0 ? { fingerprint, crashed } : {}),
    ...(parts.length > 0
      ? {
          parts: parts.map(part => ({
            part,
            crashed: crashes.parts.runsOf(part).map(({ id }) => id),
          })),
        }
      : {}),
  };
}

/**
 * Log fields of an attempt that may have been lost in a crash, by which the cause of the
 * crash can be found: what its request shares with others, and how far its answer was.
 *
 * @param board - shared state of the decision logic
 * @param attempt - the attempt
 * @param result - how it ended
 * @returns the fields; none for an attempt that ended otherwise
 */
export function evidenceFields(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  result: AttemptResult,
): LogFields {
  const { request, firstByteMs } = attempt;
  return result.kind === 'lost' || result.kind === 'withdrawn'
    ? {
        suspect: isCrashSuspect(board, attempt, result),
        parts: request.partKeys(),
        answeringMs:
          firstByteMs === null ? null : Math.round(board.clock() - firstByteMs),
      }
    : {};
}

/**
 * Log fields of the speed of the chosen replica.
 *
 * @param board - shared state of the decision logic
 * @param attempt - the attempt
 * @returns the time of work there relative to the service's mean, above 1 for a slow
 *   replica; no field where replicas count as equally fast
 */
export function speedFields(
  { speeds }: GatewayBoard,
  { load }: GatewayAttempt,
): LogFields {
  const known = speeds.find(load.replica.service);
  return known ? { speed: Number(known.factorOf(load).toFixed(2)) } : {};
}

/**
 * Log fields of a response.
 *
 * @param progress - progress of the response; null if there was none
 * @returns how its end is determined, and whether it ended inside an event
 */
export function responseFields(progress: ResponseProgress | null): LogFields {
  return progress
    ? {
        framing: progress.framing,
        ...(progress.isInsideEvent ? { insideEvent: true } : {}),
      }
    : {};
}

/**
 * Log fields of a request that continues a stream.
 *
 * @param resumption - the caller's statement; null for any other request
 * @returns the request that the caller names, who knew where the stream began, and how old
 *   the knowledge was
 */
export function resumptionFields(resumption: Resumption | null): LogFields {
  return resumption
    ? {
        resumes: resumption.firstRequest,
        knownFrom: resumption.knownFrom ?? null,
        knownAgeMs: Math.round(resumption.knownAgeMs ?? 0),
        ...resumption.searched,
      }
    : {};
}

/**
 * Log fields of the software versions that concern a stream.
 *
 * @param request - the request
 * @param attempt - the attempt
 * @returns version of the replica; for a stream that goes on, the version of its events so
 *   far and the earlier request that the caller names
 */
export function versionFields(
  { binding, resumption }: GatewayRequest,
  { softwareVersion }: GatewayAttempt,
): LogFields {
  return {
    softwareVersion,
    ...(binding?.isBound === true ? { boundVersion: binding.version } : {}),
    ...resumptionFields(resumption),
  };
}

/** Whether a stream goes on at the version that wrote its events so far. */
export function continuityOf(
  { binding }: GatewayRequest,
  { softwareVersion }: GatewayAttempt,
): 'otherVersion' | 'sameVersion' | 'unknownVersion' {
  if (!binding?.isBound || binding.version === null) {
    return 'unknownVersion';
  }
  return binding.version === softwareVersion ? 'sameVersion' : 'otherVersion';
}
