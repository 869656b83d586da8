import type {
  GatewayAttempt,
  GatewayRouter,
  PlacedCandidate,
  WithdrawReason,
} from '@jujubecroft/decisions';
import {
  answersPromptly,
  hasSpareRetry,
  isGivenUp,
  isSilent,
} from '@jujubecroft/decisions';

import type { FinishedAttempt } from './AttemptRun.js';
import { AttemptRun } from './AttemptRun.js';
import { toError } from '../util/toError.js';
import type { RequestState } from './RequestState.js';

/**
 * Longest time for which a second attempt without an answer goes on beside the first, in
 * milliseconds.
 */
const MAX_SHARED_MS = 250;
/**
 * Longest sum of these times for the second attempts beside one first attempt, in milliseconds.
 * After 400 ms, two replicas would count as running the request side by side.
 */
const MAX_TOTAL_SHARED_MS = 350;

/**
 * The attempts of one request that run at the same time: one, or two while the replica of the
 * first is silent.
 *
 * A silent replica may go on at any moment, and until a second attempt has the head of an
 * answer, its replica may still reject it. So the first attempt is given up only for an answer,
 * or once its replica has been silent for longer than a sound one. Whichever answers first goes
 * on; a second attempt that is rejected, fails or has no answer in time leaves the first in
 * place. The next one begins only when the first can be given up at its end, so that requests
 * at a silent replica don't use up the retries. Only the leading attempt writes to the caller.
 */
export class AttemptRace {
  #leading: AttemptRun | null = null;
  #second: AttemptRun | null = null;
  /** Whether the leading attempt has had a second one. */
  #hadSecond = false;
  /** Time for which the leading attempt has gone on beside second ones. */
  #sharedMs = 0;
  #secondSentMs: number | null = null;
  #sharedTimer: NodeJS.Timeout | undefined;
  #resolve: (finished: FinishedAttempt) => void = () => undefined;
  #reject: (err: Error) => void = () => undefined;

  /** @param state - shared by all attempts of the request */
  constructor(private readonly state: RequestState) {}

  /** Whether a second attempt may begin. */
  get acceptsSecond(): boolean {
    const leading = this.#leading;
    return (
      leading?.isExchanging === true &&
      this.#second === null &&
      (!this.#hadSecond ||
        isGivenUp(this.#board, leading.attempt, this.#sharedLeftMs))
    );
  }

  /**
   * Whether a second attempt is worth its retry. If the first attempt can't be given up at the
   * end of the time side by side, its answer has to be predicted before, and its retry must not
   * be lacking later, unless the replica has answered others in time since the silence began.
   * For a plain service, the beginning of an answer isn't predicted.
   */
  mayMoveTo({
    load,
    predictedMs,
  }: Pick<PlacedCandidate, 'load' | 'predictedMs'>): boolean {
    const leading = this.#leading;
    if (!leading) {
      return false;
    }
    const board = this.#board;
    const { service } = this.state.request;
    const { attempt } = leading;
    const leftMs = this.#sharedLeftMs;
    const isInTime = service.engine === null || predictedMs <= leftMs;
    return (
      isGivenUp(board, attempt, leftMs) ||
      (isInTime &&
        (answersPromptly(load, attempt.load.lastByteMs, leftMs) ||
          hasSpareRetry(board, attempt)))
    );
  }

  /** Whether an attempt is running. */
  has(attempt: GatewayAttempt): boolean {
    return (
      this.#leading?.attempt === attempt || this.#second?.attempt === attempt
    );
  }

  /**
   * Runs an attempt.
   *
   * @param attempt - the attempt
   * @param candidates - number of replicas that it could have been placed at
   * @returns the end of this attempt, or of the one that took its place
   */
  run(attempt: GatewayAttempt, candidates: number): Promise<FinishedAttempt> {
    return new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
      this.state.events?.discardPartial();
      this.#lead(this.#start(attempt, candidates));
    });
  }

  /** Runs a second attempt while the first goes on at a silent replica. */
  runSecond(attempt: GatewayAttempt, candidates: number): void {
    this.state.recorder.moving();
    this.#hadSecond = true;
    this.#second = this.#start(attempt, candidates);
  }

  /** Aborts all attempts. */
  withdraw(reason: WithdrawReason): void {
    this.#leading?.withdraw(reason);
    this.#second?.withdraw(reason);
  }

  /** Aborts one attempt; the other one, if any, goes on. */
  withdrawAttempt(attempt: GatewayAttempt, reason: WithdrawReason): void {
    [this.#leading, this.#second]
      .filter(run => run?.attempt === attempt)
      .forEach(run => run?.withdraw(reason));
  }

  get #board(): GatewayRouter['board'] {
    return this.state.context.router.board;
  }

  /** Time for which a second attempt may go on beside the first, in milliseconds. */
  get #sharedLeftMs(): number {
    return Math.max(
      0,
      Math.min(MAX_SHARED_MS, MAX_TOTAL_SHARED_MS - this.#sharedMs),
    );
  }

  #lead(run: AttemptRun): void {
    this.#leading = run;
    this.#hadSecond = false;
    this.#sharedMs = 0;
  }

  #start(attempt: GatewayAttempt, candidates: number): AttemptRun {
    const { execution, recorder } = this.state;
    const run = new AttemptRun(this.state, attempt, {
      onSent: () => {
        this.#onSent(run);
      },
      onAnswer: () => {
        this.#onAnswer(run);
      },
    });
    execution.begin(attempt.load.replica.id);
    recorder.placed(attempt, candidates);
    run
      .run()
      .then(finished => {
        this.#onEnded(run, finished);
      })
      .catch((err: unknown) => {
        this.withdraw('callerLeft');
        this.#reject(toError(err));
      });
    return run;
  }

  #onSent(run: AttemptRun): void {
    if (run === this.#second) {
      this.#secondSentMs = this.state.context.clock();
      this.#sharedTimer = setTimeout(() => {
        if (run === this.#second) {
          this.#endOverlap(run);
        }
      }, this.#sharedLeftMs);
    }
  }

  /** Gives up one of two attempts without an answer. */
  #endOverlap(second: AttemptRun): void {
    const first = this.#leading;
    // A first attempt that no longer exchanges has a complete answer, which is being confirmed.
    // A second one whose replica has fallen silent as well is no better than the first.
    const isFirstGivenUp =
      first?.isExchanging === true &&
      isGivenUp(this.#board, first.attempt) &&
      !isSilent(this.#board, second.attempt);
    if (isFirstGivenUp) {
      this.#takeOver();
    } else {
      this.#endRace().supersede('answeredElsewhere');
    }
  }

  #onAnswer(run: AttemptRun): void {
    if (run === this.#second) {
      this.#takeOver();
    } else if (this.#second) {
      this.#endRace().supersede('answeredElsewhere');
    }
  }

  /** Lets the second attempt write the rest of the answer. */
  #takeOver(): void {
    const before = this.#leading;
    this.#lead(this.#endRace());
    // A part of an event that the first replica left unfinished.
    this.state.events?.discardPartial();
    before?.supersede('silent');
  }

  /** @returns the second attempt, which is no longer one */
  #endRace(): AttemptRun {
    clearTimeout(this.#sharedTimer);
    const second = this.#second;
    if (!second) {
      throw new Error('there is no second attempt');
    }
    this.#second = null;
    if (this.#secondSentMs !== null) {
      this.#sharedMs += this.state.context.clock() - this.#secondSentMs;
      this.#secondSentMs = null;
    }
    return second;
  }

  #onEnded(run: AttemptRun, finished: FinishedAttempt): void {
    const { result } = finished;
    if (run !== this.#leading) {
      const isFirst = result.kind === 'withdrawn' && result.reason === 'silent';
      if (run === this.#second) {
        this.#endRace();
      }
      this.#recordFailed(finished, isFirst ? 'moved' : 'kept');
      return;
    }
    if (this.#second && result.kind !== 'answered') {
      this.#takeOver();
      this.#recordFailed(finished, 'moved');
      return;
    }
    if (this.#second) {
      this.#endRace().supersede('answeredElsewhere');
    }
    this.#leading = null;
    this.#resolve(finished);
  }

  #recordFailed(
    { attempt, result, reused }: FinishedAttempt,
    next: 'kept' | 'moved',
  ): void {
    const { recorder, execution } = this.state;
    recorder.failed(attempt, result, next, { sent: execution.sent, reused });
  }
}
