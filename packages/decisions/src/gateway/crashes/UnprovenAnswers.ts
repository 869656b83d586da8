import type { Clock } from '../../blackboard/Blackboard.js';
import { isSameRun } from '../replicaRuns.js';
import type { CrashedRun, Suspect } from './crashNews.js';

/** An answer that ended with its connection. */
interface UnprovenAnswer {
  readonly run: CrashedRun;
  readonly suspect: Suspect;
  readonly endedMs: number;
}

/** Maximum number of answers that are remembered; the oldest are dropped first. */
const MAX_ANSWERS = 256;
/** Time for which an answer may turn out to have ended with its replica's run. */
const RETENTION_MS = 5000;
/** Longest time between the end of an answer and the crash that it may come from. */
const CRASH_WINDOW_MS = 1000;

/**
 * Answers that ended with their connection, until it is known whether the replica's run
 * ended as well.
 */
export class UnprovenAnswers {
  #answers: readonly UnprovenAnswer[] = [];

  constructor(private readonly clock: Clock) {}

  get isEmpty(): boolean {
    return this.#answers.length === 0;
  }

  /** Adds an answer that has just ended. */
  add(run: CrashedRun, suspect: Suspect): void {
    const endedMs = this.clock();
    this.#answers = [...this.#recent, { run, suspect, endedMs }].slice(
      -MAX_ANSWERS,
    );
  }

  /**
   * Takes the answers that ended when a run crashed.
   *
   * @param run - the run
   * @param atMs - time of the crash, on the local clock
   * @returns the requests of these answers
   */
  takeEndedWith(run: CrashedRun, atMs: number): readonly Suspect[] {
    return this.#take(
      answer =>
        isOf(answer, run) && Math.abs(answer.endedMs - atMs) < CRASH_WINDOW_MS,
    );
  }

  /**
   * Takes the answers that a run has survived.
   *
   * @param run - the run
   * @param untilMs - latest end of such an answer, on the local clock
   * @returns the requests of these answers
   */
  takeSurvived(run: CrashedRun, untilMs: number): readonly Suspect[] {
    return this.#take(answer => isOf(answer, run) && answer.endedMs <= untilMs);
  }

  #take(matches: (answer: UnprovenAnswer) => boolean): readonly Suspect[] {
    const taken = this.#recent.filter(matches);
    this.#answers = this.#recent.filter(answer => !matches(answer));
    return taken.map(({ suspect }) => suspect);
  }

  get #recent(): readonly UnprovenAnswer[] {
    const sinceMs = this.clock() - RETENTION_MS;
    return this.#answers.filter(({ endedMs }) => endedMs > sinceMs);
  }
}

function isOf({ run }: UnprovenAnswer, other: CrashedRun): boolean {
  return run.id === other.id && isSameRun(run, other);
}
