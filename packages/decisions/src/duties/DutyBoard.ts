import type { InstanceId } from '@jujubecroft/types';

import type { StoreClock } from '../gateway/StoreClock.js';
import { FleetClock } from './FleetClock.js';
import type { HoldingNews } from './Holding.js';
import { isNewerHolding } from './Holding.js';
import { UsageCollector } from './UsageCollector.js';
import { UsageLedger } from './UsageLedger.js';

/** Settings of the duties: work that a single instance performs for the whole fleet. */
export interface DutySettings {
  /** Length of the lease on the duties, in milliseconds. */
  readonly leaseMs: number;
  /** Length of a usage window, in milliseconds. */
  readonly windowMs: number;
  /** Time after the end of a window within which its usage is due, in milliseconds. */
  readonly lateMs: number;
  /** Whether the holder reports usage to the platform. */
  readonly reportsUsage: boolean;
  /** Whether the holder orders replicas from the platform. */
  readonly ordersReplicas: boolean;
}

/** State of the duties as known to one instance, whether or not it is the holder. */
export interface DutyBoard {
  readonly settings: DutySettings;
  readonly fleetClock: FleetClock;
  readonly usage: UsageLedger;
  readonly collector: UsageCollector;
  /** The latest known state of the holding; null until one is known. */
  latestHolding: HoldingNews | null;
}

/** Dependencies of a {@link DutyBoard}. */
export interface DutyBoardOptions {
  readonly settings: DutySettings;
  readonly storeClock: StoreClock;
  /** Wall clock of this instance, in Unix milliseconds. */
  readonly timeOfDay: () => number;
}

/** @returns a duty board on which no holder is known */
export function createDutyBoard({
  settings,
  storeClock,
  timeOfDay,
}: DutyBoardOptions): DutyBoard {
  return {
    settings,
    fleetClock: new FleetClock(storeClock, timeOfDay),
    usage: new UsageLedger(settings.windowMs),
    collector: new UsageCollector(),
    latestHolding: null,
  };
}

/**
 * Records the state of the holding if it is newer than the known one.
 *
 * @param board - duty board to update
 * @param received - state received from another instance or read from the store
 * @returns whether the fencing token changed or the lease was released
 */
export function recordHolding(
  board: DutyBoard,
  received: HoldingNews,
): boolean {
  const known = board.latestHolding;
  if (!isNewerHolding(received, known)) {
    return false;
  }
  // Notes of a restored store may be older than what was known to be final.
  board.latestHolding = {
    ...received,
    decidedThrough: Math.max(
      received.decidedThrough,
      known?.decidedThrough ?? -1,
    ),
  };
  board.collector.discardThrough(received.decidedThrough);
  return known?.token !== received.token || received.released;
}

/**
 * Finds the instance that would take over from the holder.
 *
 * @param board - duty board that names the holder
 * @param candidates - instances in order of precedence
 * @returns the first candidate that is not the holder; null if there is none
 */
export function standbyOf(
  board: DutyBoard,
  candidates: readonly InstanceId[],
): InstanceId | null {
  return candidates.find(id => id !== board.latestHolding?.instance) ?? null;
}
