import type { BackendLoad, GatewayRequest } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { estimatesOf } from '../GatewayBoard.js';
import type { ServiceSpeeds } from '../speed/ServiceSpeeds.js';
import { splitBySpeed } from './splitBySpeed.js';
import { splitReplicas } from './splitReplicas.js';
import type { ToleranceGroup } from './toleranceGroups.js';
import { toleranceGroups } from './toleranceGroups.js';

/** How replicas are divided among groups of routes. */
export interface SegmentOptions {
  /**
   * Share of the time for which replicas of the most delicate group, the one
   * that tolerates the shortest delay, may read prompts.
   */
  readonly delicateUse: number;
  /** The same share for the groups between the first and the last. */
  readonly middleUse: number;
  /** Share of a replica's slots that a group should fill. */
  readonly slotUse: number;
  /** Smallest share of the replicas that the most tolerant group gets. */
  readonly minLastShare: number;
  /** Smallest share of the replicas that the most delicate group asks for. */
  readonly minDelicateShare: number;
}

/**
 * Replicas for a request: those of its own group and, at an extra cost, those
 * of other groups.
 */
export interface Segments {
  readonly own: readonly BackendLoad[];
  readonly others: readonly BackendLoad[];
}

/** Whether every route of a group is less urgent than a request. */
function isLessUrgent(
  { table }: GatewayBoard,
  { routes }: ToleranceGroup,
  { service, priority }: GatewayRequest,
): boolean {
  const others = table?.priorities(service.id).before(priority + 1) ?? [];
  return !others.some(({ route }) => routes.includes(route.id));
}

/**
 * Finds the replicas of a request's group and those of other groups that it may
 * use.
 */
type SegmentsFor = (
  request: GatewayRequest,
  ranked: readonly BackendLoad[],
  speeds: ServiceSpeeds | undefined,
) => Segments;

const MS_PER_SECOND = 1000;

/** Cuts replicas in order into segments of given sizes. */
function cutInto<Item>(
  items: readonly Item[],
  sizes: readonly number[],
): readonly (readonly Item[])[] {
  return sizes.map((size, place) => {
    const before = sizes.slice(0, place);
    const start = before.reduce((sum, other) => sum + other, 0);
    return items.slice(start, start + size);
  });
}

/**
 * Divides the replicas of a service among its groups by their demand.
 *
 * @param board - knows the demand at all instances
 * @param options - how full groups may be
 * @returns a function that finds a request's replicas, given all replicas in an
 *   order on which all instances agree, and their speeds
 */
export function createGroupSegments(
  board: GatewayBoard,
  options: SegmentOptions,
): SegmentsFor {
  /**
   * Number of replicas, possibly fractional, at which a group's prompts and
   * slots stay within the shares of the options.
   */
  const replicasNeeded = (
    { routes }: ToleranceGroup,
    index: number,
    request: GatewayRequest,
  ): number => {
    const { service } = request;
    const { engine } = estimatesOf(board, service.id);
    const { tokensPerS, inFlight } = board.demand.total(routes);
    const use = index === 0 ? options.delicateUse : options.middleUse;
    const replicasForTokens =
      tokensPerS / MS_PER_SECOND / engine.tokensPerMs / use;
    const slots = service.engine?.slots ?? 1;
    return Math.max(replicasForTokens, inFlight / (slots * options.slotUse));
  };

  return (request, ranked, speeds) => {
    const groups = board.table
      ? toleranceGroups(board.table, request.service.id)
      : [];
    const index = groups.findIndex(({ routes }) =>
      routes.includes(request.route.id),
    );
    if (index === -1 || ranked.length < groups.length) {
      return { own: ranked, others: [] };
    }
    const needs = groups.map((group, place) => ({
      replicas: replicasNeeded(group, place, request),
      minReplicas: place === 0 ? options.minDelicateShare * ranked.length : 1,
    }));
    const segments = speeds
      ? splitBySpeed(needs, ranked, speeds, options.minLastShare)
      : cutInto(
          ranked,
          splitReplicas(needs, ranked.length, options.minLastShare),
        );
    // A more delicate group keeps its replicas to itself, unless all of its
    // routes are less urgent than the request: an urgent request is not turned
    // away while less urgent groups have room.
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
