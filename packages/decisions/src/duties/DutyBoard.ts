import type { InstanceId } from '@jujubecroft/types';

import type { StoreClock } from '../gateway/StoreClock.js';
import { FleetClock } from './FleetClock.js';
import type { HoldingNews } from './Holding.js';
import { isNewerHolding } from './Holding.js';
import { UsageCollector } from './UsageCollector.js';
import { UsageLedger } from './UsageLedger.js';

/** Duties of a deployment, which one instance does for all. */
export interface DutySettings {
  readonly leaseMs: number;
  /** Length of a window of usage, in milliseconds. */
  readonly windowMs: number;
  /** Time after a window in which its usage is to be reported. */
  readonly lateMs: number;
  readonly reportsUsage: boolean;
  readonly ordersReplicas: boolean;
}

/** What an instance knows of the duties, whoever holds them. */
export interface DutyBoard {
  readonly settings: DutySettings;
  readonly fleetClock: FleetClock;
  readonly usage: UsageLedger;
  readonly collector: UsageCollector;
  /** The newest that was heard of the holding; null before. */
  news: HoldingNews | null;
}

/** What a board of duties is made of. */
export interface DutyBoardOptions {
  readonly settings: DutySettings;
  readonly storeClock: StoreClock;
  readonly timeOfDay: () => number;
}

/** @returns a board of an instance that knows of no holder yet */
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
    news: null,
  };
}

/**
 * Takes in what was heard of the holding.
 *
 * @returns whether another instance holds it now, or a lease was given up
 */
export function noteHolding(board: DutyBoard, told: HoldingNews): boolean {
  const known = board.news;
  if (!isNewerHolding(told, known)) {
    return false;
  }
  board.news = told;
  board.collector.forget(told.decidedThrough);
  return known?.token !== told.token || told.released;
}

/** @returns the instance that would take over first, beside the holder */
export function deputyOf(
  board: DutyBoard,
  candidates: readonly InstanceId[],
): InstanceId | null {
  return candidates.find(id => id !== board.news?.instance) ?? null;
}
