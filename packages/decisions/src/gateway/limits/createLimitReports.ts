import type { BackendServerId } from '@jujubecroft/types';

import type { BackendLoad, AnnouncedLimit } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { isSameRun } from '../replicaRuns.js';

/** A replica's last report of its limit, as instances pass it on. */
export interface LimitReport {
  readonly id: BackendServerId;
  /** Start of its run in Unix milliseconds; null if unknown. */
  readonly bornMs: number | null;
  /** Requests a second; null if the replica no longer has a limit. */
  readonly perS: number | null;
  /** Time since the replica reported it, in milliseconds. */
  readonly ageMs: number;
}

/** Time for which a change is part of every message to other instances. */
const REBROADCAST_MS = 3000;
/** Maximum number of recent changes in a message. */
const MAX_FRESH_REPORTS = 64;
/** Maximum number of other limits in a message, chosen at random. */
const MAX_OLD_REPORTS = 8;

interface KnownLimit {
  readonly load: BackendLoad;
  readonly limit: AnnouncedLimit;
}

function sampleOf(
  { random }: GatewayBoard,
  known: readonly KnownLimit[],
): readonly KnownLimit[] {
  const start = Math.floor(random() * known.length);
  return [...known.slice(start), ...known.slice(0, start)].slice(
    0,
    MAX_OLD_REPORTS,
  );
}

/**
 * Selects the limits to report to other instances: recent changes, and some
 * of the rest for instances that missed them.
 *
 * @param board - the blackboard
 * @returns the reports
 */
export function createLimitReports(
  board: GatewayBoard,
): readonly LimitReport[] {
  if (board.limits.isEmpty) {
    return [];
  }
  const known: KnownLimit[] = [];
  board.backends.forEach(load => {
    if (load.limit) {
      known.push({ load, limit: load.limit });
    }
  });
  if (known.length === 0) {
    return [];
  }
  const isFresh = ({ load }: KnownLimit): boolean =>
    board.limits.changeAgeMs(load) < REBROADCAST_MS;
  const old = known.filter(entry => !isFresh(entry));
  const nowMs = board.clock();
  return [
    ...known.filter(isFresh).slice(0, MAX_FRESH_REPORTS),
    ...sampleOf(board, old),
  ].map(({ load: { replica }, limit }) => ({
    id: replica.id,
    bornMs: replica.bornMs,
    perS: limit.perS,
    ageMs: nowMs - limit.atMs,
  }));
}

/**
 * Applies the limits that another instance reported.
 *
 * @param board - the blackboard
 * @param reports - the limits; those of unknown replicas and of other runs are
 *   ignored
 */
export function applyLimitReports(
  board: GatewayBoard,
  reports: readonly LimitReport[],
): void {
  reports.forEach(({ perS, ageMs, ...run }) => {
    const load = board.backends.get(run.id);
    if (load && isSameRun(run, load.replica)) {
      board.limits.onPeer(load, { perS, atMs: board.clock() - ageMs });
    }
  });
}
