import type { AttemptResult } from '@jujubecroft/decisions';
import type { BackendServerId } from '@jujubecroft/types';

declare const PROVEN: unique symbol;

/** Proof that a request has not run and never will. Only an `ExecutionRecord` gives it. */
export interface NotRunProof {
  /**
   * `unsent` if no byte of any attempt left this instance, `stated` if each replica that the
   * request was sent to stated that it did not run it.
   */
  readonly kind: 'stated' | 'unsent';
  /** Replicas that stated it. */
  readonly statedBy: readonly BackendServerId[];
  readonly [PROVEN]: true;
}

/** What became of all attempts of one request, and whether one of them may have run. */
export class ExecutionRecord {
  readonly #tried = new Set<BackendServerId>();
  readonly #statedBy: BackendServerId[] = [];
  readonly #inProgress = new Set<BackendServerId>();
  readonly #mayHaveRunAt = new Set<BackendServerId>();
  /** Whether each replica that was left without a failure may get the request again. */
  readonly #returns = new Map<BackendServerId, () => boolean>();
  #sent = 0;
  #unsent = 0;
  #mayHaveRun = false;

  /** Replicas that no further attempt should use. */
  get tried(): ReadonlySet<BackendServerId> {
    return this.#tried;
  }

  /** Number of attempts of which some bytes may have left this instance, or may yet. */
  get sent(): number {
    return this.#sent + this.#inProgress.size;
  }

  /** Number of replicas that may have run the request, or may run it now. */
  get replicas(): number {
    return new Set([...this.#mayHaveRunAt, ...this.#inProgress]).size;
  }

  /** Number of attempts that their replicas stated not to have run. */
  get rejected(): number {
    return this.#statedBy.length;
  }

  /** Number of attempts that failed or were withdrawn before anything was sent. */
  get unsent(): number {
    return this.#unsent;
  }

  /** Whether a replica may have run the request in an attempt that has ended. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /**
   * Records the beginning of an attempt; until its end, nothing is proven. It may last for a
   * while beside the next one, until it is certain how it ended.
   */
  begin(replica: BackendServerId): void {
    this.#inProgress.add(replica);
    if (this.#returns.has(replica)) {
      this.#returns.set(replica, () => false);
    }
    this.#tried.add(replica);
  }

  /** Records the end of an attempt in progress. */
  end(replica: BackendServerId, result: AttemptResult): void {
    if (!this.#inProgress.delete(replica)) {
      throw new Error(`no attempt is in progress at ${replica}`);
    }
    const isUnsent =
      result.kind === 'unsent' ||
      (result.kind === 'withdrawn' && result.isUnsent === true);
    if (isUnsent) {
      this.#unsent += 1;
      return;
    }
    this.#sent += 1;
    if (result.kind === 'notRun') {
      this.#statedBy.push(replica);
    } else {
      this.#mayHaveRun = true;
      this.#mayHaveRunAt.add(replica);
    }
  }

  /**
   * Allows another attempt at a replica, since this instance withheld the one there before
   * anything was sent.
   *
   * The replica of the only attempt stays excluded: a request without any would count as new
   * and be admitted again.
   */
  release(replica: BackendServerId): void {
    if (this.#tried.size > 1) {
      this.#tried.delete(replica);
    }
  }

  /**
   * Allows one more attempt at a replica that has not failed and may have run the request.
   *
   * @param replica - the replica; nothing changes if the request went back to it before
   * @param isReady - whether the request may go back to it now
   */
  allowReturn(replica: BackendServerId, isReady: () => boolean): void {
    if (!this.#returns.has(replica)) {
      this.#returns.set(replica, isReady);
    }
  }

  /** Whether the request may go back to a replica that has run it. */
  mayReturnTo(replica: BackendServerId): boolean {
    return this.#returns.get(replica)?.() === true;
  }

  /** @returns the proof that the request did not run; null if it may have run */
  proveNotRun(): NotRunProof | null {
    if (this.#inProgress.size > 0 || this.#mayHaveRun) {
      return null;
    }
    const proof: Omit<NotRunProof, typeof PROVEN> = {
      kind: this.#sent === 0 ? 'unsent' : 'stated',
      statedBy: [...this.#statedBy],
    };
    return proof as NotRunProof;
  }
}
