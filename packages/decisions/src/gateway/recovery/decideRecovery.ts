import type { Route } from '@jujubecroft/types';

import { hasResumableStreams } from '../streams/hasResumableStreams.js';
import type {
  AttemptResult,
  Recovery,
  WithdrawReason,
} from './AttemptResult.js';

/** What the decision depends on besides the result of the attempt. */
export interface RecoveryFacts {
  readonly route: Route;
  /** Number of attempts that reached a replica, this one included. */
  readonly sent: number;
  /** Number of these that the replica stated not to have run. */
  readonly rejected: number;
  /**
   * Number of attempts of which no byte left this instance, this one included.
   */
  readonly unsent: number;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /**
   * Whether another answer could follow what the caller has received: nothing, or events of
   * a stream that another replica can continue.
   */
  readonly canContinue: boolean;
  readonly timeLeftMs: number;
  /** Whether a replica that may be tried could answer, or continue the stream that has begun. */
  readonly hasCandidates: () => boolean;
  /** Whether the request may go back to a replica that has run it, which adds none. */
  readonly mayReturn: () => boolean;
  /** Whether retries after a failure answer have helped on this route. */
  readonly retryHelps: () => boolean;
  /** Whether the request was lost in more than one crash. */
  readonly isSuspect: () => boolean;
  /** Takes a retry from the shared budget; false if none is left. */
  readonly takeRetry: () => boolean;
}

/** Maximum number of connections that are tried for one request before it is refused. */
const MAX_UNSENT_ATTEMPTS = 3;
/** With less time left than this, a retry could not be answered in time. */
const MIN_RETRY_MS = 60;
/**
 * Time after which replicas that refused a request are likely to have room
 * again.
 */
const FULL_RETRY_AFTER_MS = 700;

/**
 * Whether running a request twice does no harm.
 *
 * @param route - route of the request
 * @returns true for safe requests and for streams that can be resumed
 */
export function isIdempotent(route: Route): boolean {
  return route.kind === 'safe' || hasResumableStreams(route);
}

/**
 * Number of attempts that count towards those of the route. Once an attempt may have run,
 * the caller can't be refused any more; a rejection, which ran nowhere, must not end its
 * request then.
 */
function countedAttempts({
  sent,
  rejected,
  mayHaveRun,
}: RecoveryFacts): number {
  return mayHaveRun ? sent - rejected : sent;
}

function canRetry(facts: RecoveryFacts): boolean {
  return (
    (countedAttempts(facts) < facts.route.maxAttempts || facts.mayReturn()) &&
    facts.timeLeftMs > MIN_RETRY_MS &&
    !facts.isSuspect() &&
    facts.hasCandidates() &&
    facts.takeRetry()
  );
}

/**
 * Decides what follows an attempt that gave no answer for the caller.
 *
 * A refusal promises that the request never ran, so it is given only if no byte
 * left this instance or the replica reported that it did not run the request.
 * Any other end is a failure that promises nothing.
 *
 * @param result - how the attempt ended
 * @param facts - the request's route, attempts so far, time and budget
 * @returns the next step
 */
export function decideRecovery(
  result: AttemptResult,
  facts: RecoveryFacts,
): Recovery {
  if (!facts.canContinue && result.kind !== 'withdrawn') {
    return { kind: 'answer', code: 'backendMaybeRan', retryAfterMs: 0 };
  }
  switch (result.kind) {
    case 'answered':
      return { kind: 'passOn' };
    case 'unsent':
      return facts.unsent < MAX_UNSENT_ATTEMPTS &&
        facts.timeLeftMs > MIN_RETRY_MS
        ? { kind: 'retry' }
        : refusal(facts);
    case 'notRun':
      return canRetry(facts) ? { kind: 'retry' } : refusal(facts);
    case 'failed':
      return isIdempotent(facts.route) &&
        countedAttempts(facts) < facts.route.maxAttempts &&
        facts.retryHelps() &&
        canRetry(facts)
        ? { kind: 'retry' }
        : { kind: 'passOn' };
    case 'lost':
      return isIdempotent(facts.route) && canRetry(facts)
        ? { kind: 'retry' }
        : { kind: 'answer', code: 'backendMaybeRan', retryAfterMs: 0 };
    case 'withdrawn':
      return afterWithdrawal(result.reason, facts);
  }
}

/**
 * Refuses a request, unless an earlier attempt may have run: a refusal promises
 * that the request never ran.
 */
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
    case 'answeredElsewhere':
    case 'replicaRestarted':
    case 'silent':
      return facts.canContinue && isIdempotent(facts.route) && canRetry(facts)
        ? { kind: 'retry' }
        : { kind: 'answer', code: 'backendMaybeRan', retryAfterMs: 0 };
  }
}
