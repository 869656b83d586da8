import type { DutyBoard, ToldUsage } from '@jujubecroft/decisions';
import { noteHolding } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { InstanceId, OrganisationId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

/** The part of a message that is about the duties that one instance does for all. */
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
  news,
  usage,
}: DutyBoard): Pick<DutyFields, 'usage' | 'usageAsOfMs'> {
  return {
    usageAsOfMs: fleetClock.nowMs,
    usage: usage
      .since(news?.decidedThrough ?? -1)
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
 * Tells of the duties.
 *
 * @param board - null where there are none
 * @param tellsUsage - whether the message tells what this instance counted
 */
export function toDutyFields(
  board: DutyBoard | null,
  tellsUsage: boolean,
): DutyFields {
  if (!board) {
    return NO_DUTIES;
  }
  return {
    ...NO_DUTIES,
    holding: board.news ?? undefined,
    unixMs: board.fleetClock.timeOfDay(),
    ...(tellsUsage ? toUsageFields(board) : {}),
  };
}

function toCounts(
  counts: readonly proto.OrganisationCount[],
): ToldUsage['windows'][number]['counts'] {
  return Object.fromEntries(
    counts.map(({ organisation, count }) => [
      brand<OrganisationId>(organisation),
      count,
    ]),
  );
}

/** Who sent a message, and when by the store's clock. */
export interface DutySender {
  readonly instance: InstanceId;
  readonly incarnation: number;
  /** Minus infinity where the sender doesn't know. */
  readonly storeMs: number;
}

/**
 * Takes in what a message tells of the duties.
 *
 * @param board - of this instance
 * @param fields - of the message
 * @param sender - of the message
 * @returns whether another instance holds the duties now
 */
export function takeDutyFields(
  board: DutyBoard,
  { holding, unixMs, usage, usageAsOfMs }: DutyFields,
  { instance, incarnation, storeMs }: DutySender,
): boolean {
  if (unixMs > 0 && Number.isFinite(storeMs)) {
    board.fleetClock.onPeer(instance, unixMs, storeMs);
  }
  if (usageAsOfMs > 0) {
    board.collector.onTold({
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
    ? noteHolding(board, {
        ...holding,
        instance: brand<InstanceId>(holding.instance),
      })
    : false;
}
