import type { PromptFacts, RouteId, RoutedService } from '@jujubecroft/types';

/** Weight of the newest answer. */
const LENGTH_WEIGHT = 0.03;
/** Pieces assumed before an answer of the route has ended. */
const PRIOR_PIECES = 40;

/** Learns how many pieces the streams of each route have. */
export class AnswerLengths {
  readonly #pieces = new Map<RouteId, number>();

  /** Takes in the length of a whole answer. */
  onEnded(route: RouteId, pieces: number): void {
    const before = this.#pieces.get(route) ?? PRIOR_PIECES;
    this.#pieces.set(route, before + LENGTH_WEIGHT * (pieces - before));
  }

  /**
   * Says how many pieces an answer will have.
   *
   * A caller's guess is right in the middle and often far off, so it counts
   * half against what the route's answers have on average.
   *
   * @param route - of the request
   * @param prompt - what the request says of its answer
   * @param service - tells the tokens of a piece
   */
  expect(
    route: RouteId,
    prompt: PromptFacts | null,
    service: RoutedService,
  ): number {
    const usual = this.#pieces.get(route) ?? PRIOR_PIECES;
    const perPiece = service.engine?.tokensPerEvent ?? 1;
    const guess = prompt?.expectedOutputTokens;
    return guess ? (usual + guess / perPiece) / 2 : usual;
  }
}
