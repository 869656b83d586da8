import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { learningOf } from '../GatewayBoard.js';
import { splitReplicas } from './splitReplicas.js';
import type { ToleranceGroup } from './toleranceGroups.js';
import { toleranceGroups } from './toleranceGroups.js';

/** How replicas are shared out among groups of routes. */
export interface SegmentOptions {
  /** Share of the time for which replicas of the most delicate group may read prompts. */
  readonly delicateUse: number;
  /** The same for the groups between the first and the last. */
  readonly middleUse: number;
  /** Share of a replica's slots that a group should fill. */
  readonly slotUse: number;
  /** Share of the replicas that the most tolerant group keeps in any case. */
  readonly minLastShare: number;
  /** Share of the replicas that the most delicate group keeps in any case. */
  readonly minDelicateShare: number;
}

/** Where a request may go: its own group's replicas and, at a price, those of others. */
export interface Segments {
  readonly own: readonly BackendLoad[];
  readonly others: readonly BackendLoad[];
}

/** Whether all requests of a group's routes are less urgent than one. */
function isLessUrgent(
  { table }: GatewayBoard,
  { routes }: ToleranceGroup,
  { service, priority }: GatewayRequest,
): boolean {
  const others = table?.priorities(service.id).before(priority + 1) ?? [];
  return !others.some(({ route }) => routes.includes(route.id));
}

/** Finds the replicas of a request's group, and of those that it may use as well. */
type SegmentsFor = (
  request: GatewayRequest,
  ranked: readonly BackendLoad[],
) => Segments;

const MS_PER_SECOND = 1000;

/**
 * Shares the replicas of a service out among its groups by their demand.
 *
 * @param board - knows the demand of all instances
 * @param options - how full groups may be
 * @returns the replicas of a request, out of all in one order for all instances
 */
export function createGroupSegments(
  board: GatewayBoard,
  options: SegmentOptions,
): SegmentsFor {
  /** Replicas that a group needs so that prompts and slots leave it enough room. */
  const needOf = (
    { routes }: ToleranceGroup,
    index: number,
    request: GatewayRequest,
  ): number => {
    const { service } = request;
    const { engine } = learningOf(board, service.id);
    const { tokensPerS, inFlight } = board.demand.total(routes);
    const use = index === 0 ? options.delicateUse : options.middleUse;
    const byTokens = tokensPerS / MS_PER_SECOND / engine.tokensPerMs / use;
    const slots = service.engine?.slots ?? 1;
    return Math.max(byTokens, inFlight / (slots * options.slotUse));
  };

  return (request, ranked) => {
    const groups = board.table
      ? toleranceGroups(board.table, request.service.id)
      : [];
    const index = groups.findIndex(({ routes }) =>
      routes.includes(request.route.id),
    );
    if (index === -1 || ranked.length < groups.length) {
      return { own: ranked, others: [] };
    }
    const sizes = splitReplicas(
      groups.map((group, place) => ({
        replicas: needOf(group, place, request),
        least: place === 0 ? options.minDelicateShare * ranked.length : 1,
      })),
      ranked.length,
      options.minLastShare,
    );
    const segments = sizes.map((size, place) => {
      const before = sizes.slice(0, place);
      const start = before.reduce((sum, other) => sum + other, 0);
      return ranked.slice(start, start + size);
    });
    // A more delicate group keeps its replicas for itself unless all that is its own
    // is less urgent: an urgent request is not turned away while it has room.
    const mayUse = (group: ToleranceGroup, place: number): boolean =>
      place > index || (place < index && isLessUrgent(board, group, request));
    return {
      own: segments[index] ?? [],
      others: segments
        .filter((_, place) => {
          const group = groups[place];
          return group !== undefined && mayUse(group, place);
        })
        .flat(),
    };
  };
}
