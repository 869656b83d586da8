import type {
  PromptMetadata,
  RouteId,
  RoutedService,
} from '@jujubecroft/types';

/** Mean length of a route's answers, as observed by one instance. */
export interface ObservedLength {
  readonly route: RouteId;
  /** Mean number of pieces (stream events) per answer. */
  readonly pieces: number;
  /** Number of answers that the mean is weighted by. */
  readonly answers: number;
}

/** Total number of pieces over a number of answers. */
interface LengthSum {
  pieces: number;
  answers: number;
}

/** Cap on the weight of the mean, so that it keeps following recent answers. */
const MAX_WEIGHT_ANSWERS = 33;
/** Length assumed until an answer of the route has been observed, in pieces. */
const DEFAULT_PIECES = 40;

/** Learns how many pieces (stream events) the answers of each route have. */
export class AnswerLengths {
  readonly #observed = new Map<RouteId, ObservedLength>();
  #peers = new Map<RouteId, LengthSum>();

  /** Mean lengths of all routes that this instance has observed. */
  get own(): readonly ObservedLength[] {
    return [...this.#observed.values()];
  }

  /**
   * Returns the mean length that this instance has observed for a route.
   *
   * @param route - route of the answers
   * @returns the mean; zero pieces over zero answers where none was observed
   */
  ownLength(route: RouteId): ObservedLength {
    return this.#observed.get(route) ?? { route, pieces: 0, answers: 0 };
  }

  /**
   * Records the length of a complete answer.
   *
   * @param route - route of the answer
   * @param pieces - number of stream events in the answer
   */
  onEnded(route: RouteId, pieces: number): void {
    const before = this.ownLength(route);
    const answers = Math.min(MAX_WEIGHT_ANSWERS, before.answers + 1);
    const mean = before.pieces + (pieces - before.pieces) / answers;
    this.#observed.set(route, { route, pieces: mean, answers });
  }

  /**
   * Replaces the lengths that the other instances have reported.
   *
   * @param lengths - one entry for each instance and route
   */
  onPeers(lengths: readonly ObservedLength[]): void {
    this.#peers = new Map();
    lengths.forEach(({ route, pieces, answers }) => {
      const sum = this.#peers.get(route) ?? { pieces: 0, answers: 0 };
      sum.pieces += answers * pieces;
      sum.answers += answers;
      this.#peers.set(route, sum);
    });
  }

  /**
   * Predicts how many pieces an answer will have.
   *
   * The caller's estimate is right on average but often far off, so it is
   * averaged with the mean length of the route's answers. The result never
   * exceeds the output limit that the caller has set.
   *
   * Until an answer of the route has been observed, the default length applies.
   * If answers are in fact much shorter (a tenth of it, for example), an instance
   * that has just started rejects urgent requests because none seems to finish in
   * time, and therefore never observes an answer. The symptom is a rejection with
   * a short predicted wait and a late predicted end right after a start; where
   * sixty instances share a few short answers per second, it can last for a day.
   * Therefore the first observed answers replace the default at once, and lengths
   * reported by other instances count as well.
   *
   * @param route - route of the request
   * @param prompt - what the request says about its answer; null without a
   *   prompt
   * @param service - service of the request; provides the tokens per piece
   * @returns the predicted number of pieces
   */
  predict(
    route: RouteId,
    prompt: PromptMetadata | null,
    service: RoutedService,
  ): number {
    const meanOrDefault = this.meanOrDefault(route);
    const perPiece = service.engine?.tokensPerEvent ?? 1;
    const guess = prompt?.expectedOutputTokens;
    const expected = guess
      ? (meanOrDefault + guess / perPiece) / 2
      : meanOrDefault;
    const allowed = prompt?.maxOutputTokens ?? 0;
    return allowed > 0
      ? Math.min(expected, Math.ceil(allowed / perPiece))
      : expected;
  }

  /**
   * Returns the mean length of a route's answers over all instances that
   * reported.
   *
   * @param route - route of the answers
   * @returns the mean in pieces; null until any instance has observed an answer
   */
  observedMean(route: RouteId): number | null {
    const own = this.ownLength(route);
    const peers = this.#peers.get(route);
    const answers = own.answers + (peers?.answers ?? 0);
    const pieces = own.answers * own.pieces + (peers?.pieces ?? 0);
    return answers > 0 ? pieces / answers : null;
  }

  /**
   * Returns the mean length of a route's answers, or the default length until
   * any instance has observed an answer.
   */
  meanOrDefault(route: RouteId): number {
    return this.observedMean(route) ?? DEFAULT_PIECES;
  }
}
