import type { GatewayAttempt, WithdrawReason } from '@jujubecroft/decisions';

import type { FinishedAttempt } from './AttemptRun.js';
import { AttemptRun } from './AttemptRun.js';
import { toError } from '../util/toError.js';
import type { RequestState } from './RequestState.js';

/**
 * Longest time for which a silent replica keeps a request that was sent to another one, in
 * milliseconds. After 400 ms, two replicas would count as running the request side by side.
 */
const MAX_SHARED_MS = 250;

/**
 * The attempts of one request that run at the same time: one, or two while the replica of the
 * first is silent.
 *
 * A silent replica may go on at any moment, so the first attempt is given up only once the
 * second has an answer, or has had time for one. Whichever answers first goes on; a second
 * attempt that is rejected or fails leaves the first in place. Only the leading attempt writes
 * to the caller.
 */
export class AttemptRace {
  #leading: AttemptRun | null = null;
  #second: AttemptRun | null = null;
  #sharedTimer: NodeJS.Timeout | undefined;
  #resolve: (finished: FinishedAttempt) => void = () => undefined;
  #reject: (err: Error) => void = () => undefined;

  /** @param state - shared by all attempts of the request */
  constructor(private readonly state: RequestState) {}

  /** Whether a second attempt may begin. */
  get acceptsSecond(): boolean {
    return this.#leading?.isExchanging === true && this.#second === null;
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
      this.#leading = this.#start(attempt, candidates);
    });
  }

  /** Runs a second attempt while the first goes on at a silent replica. */
  runSecond(attempt: GatewayAttempt, candidates: number): void {
    this.state.recorder.moving();
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
      this.#sharedTimer = setTimeout(() => {
        if (run === this.#second) {
          this.#endOverlap(run);
        }
      }, MAX_SHARED_MS);
    }
  }

  /** Gives up one of two attempts without an answer. */
  #endOverlap(second: AttemptRun): void {
    const { router } = this.state.context;
    if (router.isSilent(second.attempt)) {
      // Its replica has fallen silent as well, so that it is no better than the first.
      this.#endRace().supersede('answeredElsewhere');
    } else {
      this.#takeOver();
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
    this.#leading = this.#endRace();
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
