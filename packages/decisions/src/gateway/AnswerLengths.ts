import type { PromptFacts, RouteId, RoutedService } from '@jujubecroft/types';

/** Mean length of a route's answers, as one instance has seen them. */
export interface SeenLength {
  readonly route: RouteId;
  /** Mean pieces of an answer. */
  readonly pieces: number;
  /** Answers that the mean stands for. */
  readonly answers: number;
}

/** Pieces of a number of answers. */
interface LengthSum {
  pieces: number;
  answers: number;
}

/** The newest answers count as much as if the mean were of so many. */
const MAX_ANSWERS = 33;
/** Pieces assumed before an answer of the route has ended. */
const PRIOR_PIECES = 40;

/** Learns how many pieces the streams of each route have. */
export class AnswerLengths {
  readonly #seen = new Map<RouteId, SeenLength>();
  #peers = new Map<RouteId, LengthSum>();

  /** What this instance has seen of all routes. */
  get own(): readonly SeenLength[] {
    return [...this.#seen.values()];
  }

  /** What this instance has seen of a route, for the others. */
  seen(route: RouteId): SeenLength {
    return this.#seen.get(route) ?? { route, pieces: 0, answers: 0 };
  }

  /** Takes in the length of a whole answer. */
  onEnded(route: RouteId, pieces: number): void {
    const before = this.seen(route);
    const answers = Math.min(MAX_ANSWERS, before.answers + 1);
    const mean = before.pieces + (pieces - before.pieces) / answers;
    this.#seen.set(route, { route, pieces: mean, answers });
  }

  /** Takes in what the other instances have seen. */
  onPeers(lengths: readonly SeenLength[]): void {
    this.#peers = new Map();
    lengths.forEach(({ route, pieces, answers }) => {
      const sum = this.#peers.get(route) ?? { pieces: 0, answers: 0 };
      sum.pieces += answers * pieces;
      sum.answers += answers;
      this.#peers.set(route, sum);
    });
  }

  /**
   * Says how many pieces an answer will have.
   *
   * A caller's guess is right in the middle and often far off, so it counts
   * half against what the route's answers have on average. No answer is longer
   * than its caller allows.
   *
   * Guards against an instance that has just started and takes short answers for
   * long ones, ten times as long as they are: it turns urgent requests away since
   * none of them seems to end in time, and so never sees one end. It shows as
   * refusals with a short wait and a late end right after a start, and for as
   * long as a day where sixty instances share a few short answers a second.
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
    const usual = this.usual(route);
    const perPiece = service.engine?.tokensPerEvent ?? 1;
    const guess = prompt?.expectedOutputTokens;
    const expected = guess ? (usual + guess / perPiece) / 2 : usual;
    const allowed = prompt?.maxOutputTokens ?? 0;
    return allowed > 0
      ? Math.min(expected, Math.ceil(allowed / perPiece))
      : expected;
  }

  /**
   * Mean pieces of a route's answers, over all instances that were heard of.
   *
   * @param route - of the answers
   * @returns the mean; null until any of them has seen an answer
   */
  known(route: RouteId): number | null {
    const own = this.seen(route);
    const heard = this.#peers.get(route);
    const answers = own.answers + (heard?.answers ?? 0);
    const pieces = own.answers * own.pieces + (heard?.pieces ?? 0);
    return answers > 0 ? pieces / answers : null;
  }

  /** @returns the same; an assumed figure until any of them has seen one */
  usual(route: RouteId): number {
    return this.known(route) ?? PRIOR_PIECES;
  }
}
