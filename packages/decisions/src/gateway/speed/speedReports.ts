import { firstRotated } from '../../util/rotated.js';
import type { BackendLoad } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import type { ReplicaRun } from '../replicaRuns.js';
import { isSameRun } from '../replicaRuns.js';
import type { SpeedEstimate } from './ReplicaSpeed.js';

/** Lasting speed of one run of a replica, as instances pass it on. */
export interface SpeedReport extends ReplicaRun, SpeedEstimate {}

/**
 * Time for which news is part of every message. An instance exchanges eight
 * messages a second with others, so that news reaches 195 instances within it.
 */
const NEWS_MS = 1250;
/** Maximum number of news in a message; each takes some 25 bytes. */
const MAX_NEWS = 40;
/** Maximum number of other speeds in a message, for instances that missed them. */
const MAX_OTHERS = 4;

interface KnownSpeed {
  readonly load: BackendLoad;
  readonly estimate: SpeedEstimate;
  /** Local time at which it became news, in milliseconds. */
  readonly newsMs: number;
}

function allKnown({ speeds, backends }: GatewayBoard): readonly KnownSpeed[] {
  const all: KnownSpeed[] = [];
  speeds.services.forEach(({ known }) => {
    known.forEach(({ estimate, newsMs }, load) => {
      if (estimate && backends.get(load.replica.id) === load) {
        all.push({ load, estimate, newsMs });
      }
    });
  });
  return all;
}

function toReport({ load, estimate }: KnownSpeed): SpeedReport {
  const { id, bornMs } = load.replica;
  return { id, bornMs, ...estimate };
}

/**
 * Selects the speeds to report to other instances: news, and some of the rest.
 *
 * @param board - the blackboard
 * @returns the reports, whichever instance learnt them
 */
export function createSpeedReports(
  board: GatewayBoard,
): readonly SpeedReport[] {
  if (board.speeds.services.size === 0) {
    return [];
  }
  const sinceMs = board.clock() - NEWS_MS;
  const all = allKnown(board);
  const news = all.filter(({ newsMs }) => newsMs >= sinceMs);
  const others = all.filter(({ newsMs }) => newsMs < sinceMs);
  // Starting at a random one lets those beyond the maximum reach others as soon.
  return [
    ...(news.length > MAX_NEWS
      ? firstRotated(news, board.random, MAX_NEWS)
      : news),
    ...firstRotated(others, board.random, MAX_OTHERS),
  ].map(toReport);
}

/**
 * Returns all known speeds, for an instance that knows none.
 *
 * @param board - the blackboard
 */
export function createAllSpeedReports(
  board: GatewayBoard,
): readonly SpeedReport[] {
  return allKnown(board).map(toReport);
}

/**
 * Applies the speeds that another instance reported.
 *
 * @param board - the blackboard
 * @param reports - the speeds; those of unknown replicas and of other runs are
 *   ignored
 */
export function applySpeedReports(
  board: GatewayBoard,
  reports: readonly SpeedReport[],
): void {
  reports.forEach(({ id, bornMs, ...estimate }) => {
    const load = board.backends.get(id);
    if (!load || !isSameRun({ bornMs }, load.replica)) {
      return;
    }
    const speeds = board.speeds.activate(load.replica.service);
    if (speeds.of(load).merge(estimate, board.clock())) {
      speeds.markStale();
    }
  });
}
