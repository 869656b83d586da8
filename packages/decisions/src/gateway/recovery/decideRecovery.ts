import type { Route } from '@jujubecroft/types';

import type {
  AttemptResult,
  Recovery,
  WithdrawReason,
} from './AttemptResult.js';

/** What decides besides the result itself. */
export interface RecoveryFacts {
  readonly route: Route;
  /** Attempts that reached a replica, this one included. */
  readonly sent: number;
  /** Attempts of which no byte left, this one included. */
  readonly unsent: number;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  readonly timeLeftMs: number;
  /** Whether retries after a failure answer have helped on this route. */
  readonly retryHelps: () => boolean;
  /** Whether replicas crashed with the request more than once. */
  readonly isSuspect: () => boolean;
  /** Takes a repeat out of the shared budget; false when none is left. */
  readonly takeRepeat: () => boolean;
}

/** Connections that are tried for one request before it is refused. */
const MAX_UNSENT = 3;
/** A retry with less time than this could not be answered in time. */
const MIN_RETRY_MS = 60;
/** Time after which replicas that refused are likely to have room again. */
const FULL_RETRY_AFTER_MS = 700;

/**
 * Whether running a request twice does no harm.
 *
 * @param route - of the request
 * @returns true for safe requests and for streams that can be resumed
 */
export function isIdempotent(route: Route): boolean {
  return (
    route.kind === 'safe' || (route.kind === 'streaming' && route.resumable)
  );
}

function mayRepeat(facts: RecoveryFacts): boolean {
  return (
    facts.sent < facts.route.maxAttempts &&
    facts.timeLeftMs > MIN_RETRY_MS &&
    !facts.isSuspect() &&
    facts.takeRepeat()
  );
}

/**
 * Decides what follows an attempt that gave no answer for the caller.
 *
 * A refusal promises that the request never ran, so it follows only where no
 * byte left or the replica said so; anything else ends in a failure that
 * promises nothing.
 *
 * @param result - how the attempt ended
 * @param facts - the request's route, attempts so far, time and budget
 * @returns the next step
 */
export function decideRecovery(
  result: AttemptResult,
  facts: RecoveryFacts,
): Recovery {
  switch (result.kind) {
    case 'answered':
      return { kind: 'passOn' };
    case 'unsent':
      return facts.unsent < MAX_UNSENT && facts.timeLeftMs > MIN_RETRY_MS
        ? { kind: 'retry' }
        : refusal(facts);
    case 'notRun':
      return mayRepeat(facts) ? { kind: 'retry' } : refusal(facts);
    case 'failed':
      return isIdempotent(facts.route) &&
        facts.sent < facts.route.maxAttempts &&
        facts.retryHelps() &&
        mayRepeat(facts)
        ? { kind: 'retry' }
        : { kind: 'passOn' };
    case 'lost':
      return isIdempotent(facts.route) && mayRepeat(facts)
        ? { kind: 'retry' }
        : { kind: 'answer', code: 'backendMaybeRan', retryAfterMs: 0 };
    case 'withdrawn':
      return afterWithdrawal(result.reason, facts);
  }
}

/** A refusal says that the request never ran, so no earlier attempt may have. */
function refusal({ mayHaveRun }: RecoveryFacts): Recovery {
  return mayHaveRun
    ? { kind: 'answer', code: 'backendMaybeRan', retryAfterMs: 0 }
    : {
        kind: 'answer',
        code: 'noBackendServer',
        retryAfterMs: FULL_RETRY_AFTER_MS,
      };
}

function afterWithdrawal(
  reason: WithdrawReason,
  facts: RecoveryFacts,
): Recovery {
  switch (reason) {
    case 'callerLeft':
      return { kind: 'answer', code: 'callerLeft', retryAfterMs: 0 };
    case 'crashesBackends':
      return { kind: 'answer', code: 'crashesBackends', retryAfterMs: 0 };
    case 'timeLimit':
      return { kind: 'answer', code: 'backendTimeout', retryAfterMs: 0 };
    case 'replicaRestarted':
    case 'silent':
      return isIdempotent(facts.route) && mayRepeat(facts)
        ? { kind: 'retry' }
        : { kind: 'answer', code: 'backendMaybeRan', retryAfterMs: 0 };
  }
}
