import type { BackendServerId } from '@jujubecroft/types';

import type { BackendView, LoadReport } from '../blackboard/BackendView.js';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { ConcurrencyPolicy } from '../policies/concurrency/ConcurrencyPolicy.js';
import { median } from '../util/median.js';

/** Time between tokens, relative to the median of the pool, above which a server is slow. */
const STRAGGLER_ENTER_FACTOR = 2;
/**
 * Ratio at or below which a straggler counts as recovered; lower than the ratio at which
 * it became one, to avoid flapping.
 */
const STRAGGLER_EXIT_FACTOR = 1.5;
/** Number of servers with a measured latency that a pool needs to identify stragglers. */
const MIN_MEASURED_SERVERS = 3;
/** Time for which in-flight samples are kept. */
const HISTORY_MS = 5000;
/** Time for which a server is avoided after its first failure. */
const INITIAL_AVOID_MS = 250;
/** Maximum time for which a server is avoided; the time doubles with every incident. */
const MAX_AVOID_MS = 15_000;

/** Own requests in flight on a server at a past time, according to the samples. */
function inFlightAt(view: BackendView, atMs: number): number {
  const sample = view.history.findLast(({ atMs: taken }) => taken <= atMs);
  return sample?.inFlight ?? 0;
}

/** Maintains the views of backend servers: reports, limits, stragglers and failures. */
export class BackendController {
  constructor(
    private readonly board: Blackboard,
    private readonly concurrency: ConcurrencyPolicy,
  ) {}

  /** Records a load report unless a newer one is known. */
  onReport(id: BackendServerId, report: LoadReport): void {
    const view = this.board.backends.get(id);
    if (!view || report.takenAtMs <= (view.report?.takenAtMs ?? -Infinity)) {
      return;
    }
    view.report = report;
    view.ownInFlightAtReport = inFlightAt(view, report.takenAtMs);
  }

  /**
   * Records a failed attempt.
   *
   * Guards against a server that attracts work because it fails every request quickly:
   * it is avoided for a time that doubles with each incident. Attempts that fail while
   * the server is already avoided belong to the same incident.
   */
  onFailure(id: BackendServerId): void {
    const view = this.board.backends.get(id);
    const nowMs = this.board.clock();
    if (!view || view.avoidUntilMs > nowMs) {
      return;
    }
    const avoidMs = INITIAL_AVOID_MS * 2 ** view.consecutiveFailures;
    view.avoidUntilMs = nowMs + Math.min(MAX_AVOID_MS, avoidMs);
    view.consecutiveFailures += 1;
  }

  /** Performs the periodic work: adapts limits, updates loads, marks stragglers. */
  tick(): void {
    const nowMs = this.board.clock();
    this.board.backends.forEach(view => {
      this.concurrency.adapt(view);
      this.#sampleInFlight(view, nowMs);
    });
    this.board.loads.forEach(load => {
      load.updateAverages(nowMs);
    });
    this.board.pools.forEach(views => {
      this.#markStragglers(views);
    });
  }

  #sampleInFlight(view: BackendView, nowMs: number): void {
    view.history.push({ atMs: nowMs, inFlight: view.inFlight });
    const oldest = view.history[0];
    if (oldest && oldest.atMs < nowMs - HISTORY_MS) {
      view.history.shift();
    }
  }

  #markStragglers(views: readonly BackendView[]): void {
    const measured = views.filter(view => view.betweenTokensMs > 0);
    if (measured.length < MIN_MEASURED_SERVERS) {
      return;
    }
    const medianMs = median(measured.map(view => view.betweenTokensMs));
    measured.forEach(view => {
      const factor = view.straggler
        ? STRAGGLER_EXIT_FACTOR
        : STRAGGLER_ENTER_FACTOR;
      view.straggler = view.betweenTokensMs > medianMs * factor;
    });
  }
}
