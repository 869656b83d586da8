import type { DutyBoard, InstanceUsage } from '@jujubecroft/decisions';
import { recordHolding } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

/** Fields of a message about the duties, which one instance performs for the fleet. */
export type DutyFields = Pick<
  proto.GatewayState,
  'holding' | 'unixMs' | 'usage' | 'usageAsOfMs'
>;

const NO_DUTIES: DutyFields = {
  holding: undefined,
  unixMs: 0,
  usage: [],
  usageAsOfMs: 0,
};

function toUsageFields({
  fleetClock,
  latestHolding,
  usage,
}: DutyBoard): Pick<DutyFields, 'usage' | 'usageAsOfMs'> {
  return {
    usageAsOfMs: fleetClock.nowMs,
    usage: usage
      .countsAfter(latestHolding?.decidedThrough ?? -1)
      .map(({ window, counts }) => ({
        window,
        counts: Object.entries(counts).map(([organisation, count]) => ({
          organisation,
          count,
        })),
      })),
  };
}

/**
 * Encodes what this instance knows of the duties.
 *
 * @param board - state of the duties; null if the deployment has none
 * @param withUsage - whether to include this instance's usage counts
 * @returns the fields
 */
export function toDutyFields(
  board: DutyBoard | null,
  withUsage: boolean,
): DutyFields {
  if (!board) {
    return NO_DUTIES;
  }
  return {
    ...NO_DUTIES,
    holding: board.latestHolding ?? undefined,
    unixMs: board.fleetClock.timeOfDay(),
    ...(withUsage ? toUsageFields(board) : {}),
  };
}

function toCounts(
  counts: readonly proto.OrganisationCount[],
): InstanceUsage['windows'][number]['counts'] {
  return Object.fromEntries(
    counts.map(({ organisation, count }) => [
      brand<OrganisationId>(organisation),
      count,
    ]),
  );
}

/** The sender of a message. */
export interface DutySender {
  readonly instance: InstanceId;
  readonly incarnation: number;
  /**
   * The sender's reading of the store's clock, in milliseconds; -Infinity if unknown.
   */
  readonly storeMs: number;
}

/**
 * Applies what a message contains about the duties.
 *
 * @param board - state of the duties at this instance
 * @param fields - fields of the message
 * @param sender - sender of the message
 * @returns whether another instance holds the duties now, or they were released
 */
export function applyDutyFields(
  board: DutyBoard,
  { holding, unixMs, usage, usageAsOfMs }: DutyFields,
  { instance, incarnation, storeMs }: DutySender,
): boolean {
  if (unixMs > 0 && Number.isFinite(storeMs)) {
    board.fleetClock.onPeer(instance, unixMs, storeMs);
  }
  if (usageAsOfMs > 0) {
    board.collector.onUsage({
      instance,
      incarnation,
      asOfMs: usageAsOfMs,
      windows: usage.map(({ window, counts }) => ({
        window,
        counts: toCounts(counts),
      })),
    });
  }
  return holding
    ? recordHolding(board, {
        ...holding,
        instance: brand<InstanceId>(holding.instance),
      })
    : false;
}
