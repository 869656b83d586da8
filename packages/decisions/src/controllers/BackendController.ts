import type { BackendServerId } from '@jujubecroft/types';

import type { BackendView, LoadReport } from '../blackboard/BackendView.js';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { ConcurrencyPolicy } from '../policies/concurrency/ConcurrencyPolicy.js';
import { median } from '../util/median.js';

const STRAGGLER_ENTER_FACTOR = 2;
const STRAGGLER_EXIT_FACTOR = 1.5;
const MIN_MEASURED_SERVERS = 3;
const HISTORY_MS = 5000;
const INITIAL_AVOID_MS = 250;
const MAX_AVOID_MS = 15_000;

/** Own requests in flight at a past moment, by the samples taken then. */
function inFlightAt(view: BackendView, atMs: number): number {
  const sample = view.history.findLast(({ atMs: taken }) => taken <= atMs);
  return sample?.inFlight ?? 0;
}

/** Keeps the views of backend servers: reports, limits, stragglers, failures. */
export class BackendController {
  constructor(
    private readonly board: Blackboard,
    private readonly concurrency: ConcurrencyPolicy,
  ) {}

  /** Takes over a load report unless a later one is known. */
  onReport(id: BackendServerId, report: LoadReport): void {
    const view = this.board.backends.get(id);
    if (!view || report.takenAtMs <= (view.report?.takenAtMs ?? -Infinity)) {
      return;
    }
    view.report = report;
    view.ownAtReport = inFlightAt(view, report.takenAtMs);
  }

  /**
   * Takes note of a failed attempt.
   *
   * Guards against a server that fails everything fast and so attracts work:
   * it is avoided for a time that doubles with each incident. Attempts that
   * fail together are one incident, since they fall into the same avoided time.
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

  /** Periodic work on all views. */
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
    const typical = median(measured.map(view => view.betweenTokensMs));
    measured.forEach(view => {
      const factor = view.straggler
        ? STRAGGLER_EXIT_FACTOR
        : STRAGGLER_ENTER_FACTOR;
      view.straggler = view.betweenTokensMs > typical * factor;
    });
  }
}
