import * as z from 'zod';

import { createPolicyUnit } from '../../policies/createPolicyUnit.js';
import type { BackendLoad } from '../BackendLoad.js';
import { FIFO_PRIORITY } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { estimatesOf } from '../GatewayBoard.js';
import type { PlacedCandidate, PlacementPolicy } from './PlacementPolicy.js';

interface LeastBusyOptions {
  /**
   * Cost of a replica in another failure domain, in milliseconds; about one
   * round trip.
   */
  readonly domainMs: number;
  /** Range of the random cost that breaks ties, in milliseconds. */
  readonly tieBreakMs: number;
  /**
   * Cost of a replica that is known to reject requests because it is full, in
   * milliseconds; more than all other costs together.
   */
  readonly fullMs: number;
}

/** Requests beyond the replica's slots once one more is sent. */
function queueLength(load: BackendLoad): number {
  return Math.max(0, load.totalInFlight + 1 - load.replica.slots);
}

function createLeastBusy(
  board: GatewayBoard,
  options: LeastBusyOptions,
): PlacementPolicy {
  return ({ service }, candidates, isDeferred) => {
    const estimates = estimatesOf(board, service.id);
    const speeds = board.speeds.current(service.id);
    const evaluate = (load: BackendLoad): PlacedCandidate => {
      const slots = Math.max(1, load.replica.slots);
      const slowness = speeds ? speeds.factorOf(load) * load.slowdown : 1;
      const answerMs = estimates.answerMs * slowness;
      const rounds = 1 + queueLength(load) / slots;
      const predictedMs =
        answerMs * load.latencyRatioFor(FIFO_PRIORITY) * rounds;
      const isRemote = load.replica.failureDomain !== board.failureDomain;
      const busyMs = (answerMs * load.totalInFlight) / slots;
      const cost =
        predictedMs +
        busyMs +
        (isRemote ? options.domainMs : 0) +
        (speeds && load.isFull ? options.fullMs : 0) +
        board.random() * options.tieBreakMs;
      return {
        load,
        unreadTokens: 0,
        tokensAhead: 0,
        fetch: null,
        isDeferred,
        predictedMs,
        ownReadMs: 0,
        predictedWholeMs: predictedMs,
        cost,
      };
    };
    return candidates.map(evaluate).sort((a, b) => a.cost - b.cost);
  };
}

/** Places requests by requests in flight, speed and failure domain. */
export const leastBusy = createPolicyUnit<
  LeastBusyOptions,
  PlacementPolicy,
  GatewayBoard
>({
  name: 'least-busy',
  description:
    'Places a request of a plain service where its answer is expected first, by requests in flight of all instances, observed speed and failure domain.',
  schema: z.object({
    domainMs: z.number().nonnegative().default(2),
    tieBreakMs: z.number().nonnegative().default(1),
    fullMs: z.number().nonnegative().default(100_000),
  }),
  create: createLeastBusy,
});
