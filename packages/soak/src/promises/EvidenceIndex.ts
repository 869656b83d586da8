import { groupBy } from '@jujubecroft/types';

import type {
  ClosedNote,
  DoneFault,
  Evidence,
  FaultTarget,
  GotNote,
  SentRequest,
} from '../evidence.js';

/** Evidence by request, and questions about times without faults. */
export class EvidenceIndex {
  readonly #runs: ReadonlyMap<string, readonly GotNote[]>;
  readonly #closes: ReadonlyMap<string, readonly ClosedNote[]>;
  readonly #sent: ReadonlyMap<string, SentRequest>;

  constructor(private readonly evidence: Evidence) {
    const got = evidence.notes.filter(note => note.type === 'got');
    const closed = evidence.notes.filter(note => note.type === 'closed');
    this.#runs = groupBy(
      got.filter(({ ran }) => ran),
      ({ id }) => id,
    );
    this.#closes = groupBy(closed, ({ id }) => id);
    this.#sent = new Map(evidence.sent.map(request => [request.id, request]));
  }

  /** Runs of a request at replicas, in the order of their notes. */
  runsOf(id: string): readonly GotNote[] {
    return this.#runs.get(id) ?? [];
  }

  /** Ends of its connections at replicas. */
  closesOf(id: string): readonly ClosedNote[] {
    return this.#closes.get(id) ?? [];
  }

  sent(id: string): SentRequest | undefined {
    return this.#sent.get(id);
  }

  /**
   * Faults that touched something in a span of time.
   *
   * @param touches - which targets count
   * @param fromMs - start of the span
   * @param toMs - its end
   */
  faultsIn(
    touches: (target: FaultTarget, fault: DoneFault) => boolean,
    fromMs: number,
    toMs: number,
  ): readonly DoneFault[] {
    return this.evidence.faults.filter(
      fault =>
        fault.fromMs <= toMs &&
        fault.toMs >= fromMs &&
        touches(fault.target, fault),
    );
  }

  /**
   * Whether a gateway and the store had no faults for long enough that bounds in
   * time hold for the gateway.
   */
  isInTouch(gateway: number, fromMs: number, toMs: number): boolean {
    const sinceMs = fromMs - this.evidence.bounds.contactMs;
    const faults = this.faultsIn(
      ({ what, index }) =>
        what === 'store' ||
        (what === 'gateway' && (index === null || index === gateway)),
      sinceMs,
      toMs,
    );
    return faults.length === 0;
  }
}
