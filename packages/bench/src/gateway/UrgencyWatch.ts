import type { RequestKind } from './burstLoad.js';

/** One request of a replay, with its outcome so far. */
export interface ReplayedRequest {
  readonly kind: RequestKind;
  /** Scheduling priority; 0 is the most urgent. */
  readonly priority: number;
  readonly askedMs: number;
  readonly promptTokens: number;
  /** Time of the first event of the answer, in milliseconds; null while there was none. */
  firstEventMs: number | null;
  /** Whether the caller received the complete answer. */
  isServed: boolean;
  /** Whether the instance that handled it stopped; such requests don't count as unserved. */
  isExcluded: boolean;
}

type RequestGroup = Pick<ReplayedRequest, 'kind' | 'priority'>;

/** What is known of a request on arrival. */
export type ArrivedRequest = Pick<
  ReplayedRequest,
  'askedMs' | 'kind' | 'priority' | 'promptTokens'
>;

/** A time window in which urgent requests went unserved while less urgent ones started. */
export interface PriorityInversion {
  readonly kind: string;
  readonly priority: number;
  readonly fromMs: number;
  readonly requests: number;
  readonly unserved: number;
  readonly lessUrgentStarted: number;
}

/** Length of the sliding window. */
const WINDOW_MS = 5000;
const WINDOW_STEP_MS = WINDOW_MS / 5;
/** Unserved requests of a kind and priority that are allowed in a window, whatever their share. */
const MAX_UNSERVED = 9;
/** Share of the requests of a kind and priority in a window that may go unserved. */
const MAX_UNSERVED_SHARE = 1 / 12;
/** Less urgent requests count only if their kind is more than this many times as large, in tokens. */
const MIN_SIZE_RATIO = 2;

function typicalTokensOf({
  sharedTokens,
  medianOwnTokens,
}: RequestKind): number {
  return sharedTokens + medianOwnTokens;
}

/**
 * Detects priority inversions: less urgent requests that start while more urgent ones go unserved.
 *
 * A window of five seconds counts as an inversion if more than a twelfth of the requests of
 * one kind and priority in it, and at least ten, went unserved while less urgent requests of
 * more than twice their size started.
 */
export class UrgencyWatch {
  readonly #requests: ReplayedRequest[] = [];

  /** @param kinds - kinds of the load, each with a route of its own */
  constructor(private readonly kinds: readonly RequestKind[]) {}

  /**
   * Records a request.
   *
   * @returns its record, which the caller updates with the outcome
   */
  onRequest(request: ArrivedRequest): ReplayedRequest {
    const recorded = {
      ...request,
      firstEventMs: null,
      isServed: false,
      isExcluded: false,
    };
    this.#requests.push(recorded);
    return recorded;
  }

  /** All requests, in order of arrival. */
  get requests(): readonly ReplayedRequest[] {
    return this.#requests;
  }

  /**
   * Lists the priority inversions; to be called after the last request has ended.
   *
   * @returns one entry for each affected window, kind and priority; windows overlap
   */
  findInversions(): readonly PriorityInversion[] {
    const lastMs = this.#requests.at(-1)?.askedMs ?? 0;
    const starts = Array.from(
      { length: Math.ceil(lastMs / WINDOW_STEP_MS) },
      (_, index) => index * WINDOW_STEP_MS,
    );
    const priorities = [
      ...new Set(this.#requests.map(({ priority }) => priority)),
    ].sort((a, b) => a - b);
    return this.kinds
      .flatMap(kind => priorities.map(priority => ({ kind, priority })))
      .flatMap(group =>
        starts.map(fromMs => this.#inspectWindow(group, fromMs)),
      )
      .filter(
        ({ requests, unserved, lessUrgentStarted }) =>
          lessUrgentStarted > 0 &&
          unserved > Math.max(MAX_UNSERVED, MAX_UNSERVED_SHARE * requests),
      );
  }

  #inspectWindow(
    { kind, priority }: RequestGroup,
    fromMs: number,
  ): PriorityInversion {
    const isWithin = (ms: number | null): boolean =>
      ms !== null && ms >= fromMs && ms < fromMs + WINDOW_MS;
    const requests = this.#requests.filter(
      request =>
        request.kind === kind &&
        request.priority === priority &&
        isWithin(request.askedMs),
    );
    const started = this.#requests.filter(
      request =>
        request.priority > priority &&
        typicalTokensOf(request.kind) >
          MIN_SIZE_RATIO * typicalTokensOf(kind) &&
        isWithin(request.firstEventMs),
    );
    return {
      kind: kind.route.id,
      priority,
      fromMs,
      requests: requests.length,
      unserved: requests.filter(
        ({ isServed, isExcluded }) => !isServed && !isExcluded,
      ).length,
      lessUrgentStarted: started.length,
    };
  }
}
