import { groupBy } from '@jujubecroft/types';

import { PATH_KINDS } from '../faults/faultTargets.js';
import type {
  ClosedNote,
  Evidence,
  FaultTarget,
  InjectedFault,
  ReceivedNote,
  SentRequest,
} from '../evidence.js';

/** Faults of gateways that leave their process running. */
const UNINTERRUPTING_KINDS: readonly string[] = [
  'gateway-cut',
  ...PATH_KINDS,
  'gateway-reload',
  'peer-link-cut',
  'peer-link-delay',
  'peer-link-silent',
  'store-link-cut',
  'store-link-reset',
  'store-link-silent',
];

/** Index of the evidence by request, with queries on faults in a span of time. */
export class EvidenceIndex {
  readonly #executions: ReadonlyMap<string, readonly ReceivedNote[]>;
  readonly #closedNotes: ReadonlyMap<string, readonly ClosedNote[]>;
  readonly #sent: ReadonlyMap<string, SentRequest>;

  constructor(private readonly evidence: Evidence) {
    const received = evidence.notes.filter(note => note.type === 'got');
    const closed = evidence.notes.filter(note => note.type === 'closed');
    this.#executions = groupBy(
      received.filter(({ ran }) => ran),
      ({ id }) => id,
    );
    this.#closedNotes = groupBy(closed, ({ id }) => id);
    this.#sent = new Map(evidence.sent.map(request => [request.id, request]));
  }

  /** Returns the executions of a request at replicas, in the order of the notes. */
  executionsOf(id: string): readonly ReceivedNote[] {
    return this.#executions.get(id) ?? [];
  }

  /** Returns when the connections of a request at replicas closed. */
  closedNotesOf(id: string): readonly ClosedNote[] {
    return this.#closedNotes.get(id) ?? [];
  }

  /** Returns a request as the caller sent it. */
  sent(id: string): SentRequest | undefined {
    return this.#sent.get(id);
  }

  /**
   * Returns the faults in a span of time whose target satisfies a predicate.
   *
   * @param selects - predicate on the target and the fault
   * @param fromMs - start of the span
   * @param toMs - end of the span
   */
  faultsIn(
    selects: (target: FaultTarget, fault: InjectedFault) => boolean,
    fromMs: number,
    toMs: number,
  ): readonly InjectedFault[] {
    return this.evidence.faults.filter(
      fault =>
        fault.fromMs <= toMs &&
        fault.toMs >= fromMs &&
        selects(fault.target, fault),
    );
  }

  /**
   * Whether a gateway may have forgotten or missed something in a span of time,
   * because its process was restarted or paused.
   */
  wasInterrupted(gateway: number, fromMs: number, toMs: number): boolean {
    const faults = this.faultsIn(
      ({ component, index }, { kind }) =>
        component === 'gateway' &&
        (index === null || index === gateway) &&
        !UNINTERRUPTING_KINDS.includes(kind),
      fromMs,
      toMs,
    );
    return faults.length > 0;
  }

  /**
   * Whether the store had no fault at a time or in the `faultFreeMs` before it.
   *
   * @param atMs - the time
   */
  isStoreStable(atMs: number): boolean {
    const sinceMs = atMs - this.evidence.bounds.faultFreeMs;
    const faults = this.faultsIn(
      ({ component }) => component === 'store',
      sinceMs,
      atMs,
    );
    return faults.length === 0;
  }

  /**
   * Whether neither the store nor a gateway had a fault at a time or in the
   * `faultFreeMs` before it.
   *
   * @param gateway - index of the gateway
   * @param atMs - the time
   */
  isInTouch(gateway: number, atMs: number): boolean {
    return this.isGatewayFaultFree(gateway, atMs, atMs);
  }

  /**
   * Whether time bounds apply to a gateway in a span of time: neither the gateway nor
   * the store had a fault in the span or in the `faultFreeMs` before it.
   */
  isGatewayFaultFree(gateway: number, fromMs: number, toMs: number): boolean {
    const sinceMs = fromMs - this.evidence.bounds.faultFreeMs;
    const faults = this.faultsIn(
      ({ component, index }, { kind }) =>
        component === 'store' ||
        (component === 'gateway' &&
          // Its stops are recorded one by one as well.
          kind !== 'gateway-rolling-stop' &&
          // A gateway without paths to replicas is bound like any other.
          !PATH_KINDS.includes(kind) &&
          (index === null || index === gateway)),
      sinceMs,
      toMs,
    );
    return faults.length === 0;
  }
}
