import type { Evidence } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';

/** A violation of an invariant, with the id of the request to look up in the logs. */
export interface Violation {
  /** Request id; null if the violation is not about a single request. */
  readonly request: string | null;
  /** Description of the violation. */
  readonly what: string;
}

/** An invariant of the system, with a check that finds violations in the evidence. */
export interface SoakInvariant {
  readonly name: string;
  readonly description: string;
  /**
   * Whether the check compares times. Such a check needs a machine that can run all
   * processes at the same time, so automated runs skip it.
   */
  readonly timed: boolean;
  readonly check: (
    evidence: Evidence,
    index: EvidenceIndex,
  ) => readonly Violation[];
}
