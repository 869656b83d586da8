import type { BackendView } from '../blackboard/BackendView.js';
import type { Blackboard } from '../blackboard/Blackboard.js';
import type { RequestRecord } from '../blackboard/RoutedRequest.js';
import { explain } from '../util/explain.js';
import { smooth } from '../util/smooth.js';

/** Weights of a new sample in the moving averages of the latencies. */
const BETWEEN_TOKENS_WEIGHT = 0.05;
const FIRST_TOKEN_WEIGHT = 0.1;

/** Tracks the progress of running requests and updates the latency averages of servers. */
export class ProgressController {
  constructor(private readonly board: Blackboard) {}

  /**
   * Records tokens that reached the caller.
   *
   * @param record - the running request
   * @param tokens - number of tokens since the last call; at least 1
   */
  onTokens(record: RequestRecord, tokens: number): void {
    const nowMs = this.board.clock();
    const view = this.#viewOf(record);
    if (view && record.attempt) {
      this.#updateLatencies(
        view,
        record,
        record.attempt.dispatchedAtMs,
        tokens,
        nowMs,
      );
    }
    record.firstTokenAtMs ??= nowMs;
    record.attemptHasTokens = true;
    record.tokensDelivered += tokens;
    record.lastProgressAtMs = nowMs;
  }

  /** Records the end of a complete response. */
  onFinished(record: RequestRecord): void {
    const { board } = this;
    const { request, rules } = record;
    const view = this.#viewOf(record);
    if (view) {
      view.consecutiveFailures = 0;
    }
    if (request.target.kind === 'engine') {
      board.lengths.record(
        rules.id,
        request.organisation,
        record.tokensDelivered,
      );
      board.limits.settle(
        request.organisation,
        record.tokensDelivered - record.expectedTokens,
      );
    }
    if (record.attempt) {
      explain(board, record, {
        kind: 'finished',
        backendServer: record.attempt.backendServer,
        tokens: record.tokensDelivered,
        firstTokenMs:
          (record.firstTokenAtMs ?? board.clock()) - record.arrivedAtMs,
        totalMs: board.clock() - record.arrivedAtMs,
      });
    }
  }

  #updateLatencies(
    view: BackendView,
    record: RequestRecord,
    dispatchedAtMs: number,
    tokens: number,
    nowMs: number,
  ): void {
    view.samples += 1;
    if (!record.attemptHasTokens) {
      const waitedMs = nowMs - dispatchedAtMs;
      view.firstTokenMs = smooth(
        view.firstTokenMs,
        waitedMs,
        FIRST_TOKEN_WEIGHT,
      );
      return;
    }
    const gapMs = (nowMs - record.lastProgressAtMs) / tokens;
    view.betweenTokensMs = smooth(
      view.betweenTokensMs,
      gapMs,
      BETWEEN_TOKENS_WEIGHT,
    );
  }

  #viewOf(record: RequestRecord): BackendView | undefined {
    return record.attempt !== null
      ? this.board.backends.get(record.attempt.backendServer)
      : undefined;
  }
}
