/** Why a request that was read is refused before an attempt: result codes. */
export type WaitEnd = 'instanceLeaving' | 'notSentInTime';

/** The end of a wait before the request may be sent. */
export interface EndedWait {
  readonly kind: 'refused';
  readonly code: WaitEnd;
}

/**
 * A request whose head was read, until its response is complete.
 *
 * Before its first attempt it may wait: for its body, for earlier responses of its
 * connection, for a current view, and for the origin of its stream. These waits have other
 * limits than the request, or none, so they end with its time limit and with the instance.
 */
export class ReceivedRequest {
  #hasEnded = false;
  #end: (end: EndedWait) => void = () => undefined;
  /** Settles when the wait before the first attempt is ended. */
  readonly ended = new Promise<EndedWait>(resolve => {
    this.#end = resolve;
  });

  /**
   * @param deadlineMs - reading of the clock from which on no attempt is of use; infinite
   *   if the caller states no time limit
   */
  constructor(private deadlineMs: number) {}

  /** Whether the wait before the first attempt was ended. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Sets the time limit of the route, once it is known. */
  limitTo(deadlineMs: number): void {
    this.deadlineMs = deadlineMs;
  }

  /** Ends the wait before the first attempt; later calls have no effect. */
  refuse(code: WaitEnd): void {
    this.#hasEnded = true;
    this.#end({ kind: 'refused', code });
  }

  /** Ends the wait before the first attempt if the time limit has passed. */
  checkTime(nowMs: number): void {
    if (nowMs >= this.deadlineMs) {
      this.refuse('notSentInTime');
    }
  }

  /**
   * Waits for what precedes the first attempt.
   *
   * @param work - settles when the request may be sent; whatever comes of it is ignored
   *   once the wait has ended
   * @returns the result, unless the wait ended before it
   */
  wait<Result>(work: Promise<Result>): Promise<EndedWait | Result> {
    return Promise.race([this.ended, work]);
  }
}
