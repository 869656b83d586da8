import type { BackendServerId } from '@jujubecroft/types';

import type { BackendLoad, NamedLimit } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { isSameRun } from '../replicaRuns.js';

/** What a replica last said of its limit, as instances tell it. */
export interface LimitReport {
  readonly id: BackendServerId;
  /** Start of its run in Unix milliseconds; null where that is unknown. */
  readonly bornMs: number | null;
  /** Requests a second; null where it names no limit any more. */
  readonly perS: number | null;
  readonly ageMs: number;
}

/** Time for which a change is part of every message. */
const RETELL_MS = 3000;
/** Changes in one message, at most. */
const MAX_FRESH = 64;
/** Limits besides that a message tells, drawn at random. */
const MAX_OLD = 8;

interface Known {
  readonly load: BackendLoad;
  readonly limit: NamedLimit;
}

function drawn(
  { random }: GatewayBoard,
  known: readonly Known[],
): readonly Known[] {
  const start = Math.floor(random() * known.length);
  return [...known.slice(start), ...known.slice(0, start)].slice(0, MAX_OLD);
}

/**
 * What this instance tells others of limits: what has changed lately, and some of the rest
 * for those who have missed it.
 *
 * @param board - the blackboard
 */
export function limitNews(board: GatewayBoard): readonly LimitReport[] {
  const known = [...board.backends.values()].flatMap(load =>
    load.limit ? [{ load, limit: load.limit }] : [],
  );
  if (known.length === 0) {
    return [];
  }
  const isFresh = ({ load }: Known): boolean =>
    board.limits.changeAgeMs(load) < RETELL_MS;
  const old = known.filter(one => !isFresh(one));
  const nowMs = board.clock();
  return [
    ...known.filter(isFresh).slice(0, MAX_FRESH),
    ...drawn(board, old),
  ].map(({ load: { replica }, limit }) => ({
    id: replica.id,
    bornMs: replica.bornMs,
    perS: limit.perS,
    ageMs: nowMs - limit.atMs,
  }));
}

/** Takes in what another instance tells of limits. */
export function takeLimits(
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
