import { announcedLeaves } from './announced-leaves.js';
import { atMostOnce } from './at-most-once.js';
import { boundedAttempts } from './bounded-attempts.js';
import { boundedResponses } from './bounded-responses.js';
import { boundedRetries } from './bounded-retries.js';
import { cancelledWork } from './cancelled-work.js';
import { configurationInForce } from './configuration-in-force.js';
import { crashingParts, soundParts } from './crashing-parts.js';
import { crashingRequests } from './crashing-requests.js';
import { dutiesOfOne } from './duties-of-one.js';
import { gatewaysKeepRunning } from './gateways-keep-running.js';
import { gracefulStops } from './graceful-stops.js';
import { leavingReplicas } from './leaving-replicas.js';
import { oneVersionStreams } from './one-version-streams.js';
import { pathsOfOthers } from './paths-of-others.js';
import { replicaLimits } from './replica-limits.js';
import { requestedPauses } from './requested-pauses.js';
import { servesAgain } from './serves-again.js';
import type { SoakInvariant } from './SoakInvariant.js';
import { soundAnswers } from './sound-answers.js';
import { trueRefusals } from './true-refusals.js';
import { unchangedRequests } from './unchanged-requests.js';
import { wholeOwnAnswers } from './whole-own-answers.js';

/** All invariants that the soak checks. */
export const ALL_INVARIANTS: readonly SoakInvariant[] = [
  announcedLeaves,
  atMostOnce,
  boundedAttempts,
  boundedResponses,
  boundedRetries,
  cancelledWork,
  configurationInForce,
  crashingParts,
  crashingRequests,
  dutiesOfOne,
  gatewaysKeepRunning,
  gracefulStops,
  leavingReplicas,
  oneVersionStreams,
  pathsOfOthers,
  replicaLimits,
  requestedPauses,
  servesAgain,
  soundAnswers,
  soundParts,
  trueRefusals,
  unchangedRequests,
  wholeOwnAnswers,
];
