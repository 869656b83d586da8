import type { Evidence } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';

/** One breach of a promise, told so that its request can be found in the logs. */
export interface Breach {
  readonly request: string | null;
  readonly what: string;
}

/** A promise of the system with the check that finds breaches in what was seen. */
export interface SoakPromise {
  readonly name: string;
  readonly description: string;
  /**
   * Whether the check compares times. Such a promise needs a machine that runs
   * every process at once, so unattended runs leave it out.
   */
  readonly timed: boolean;
  readonly check: (
    evidence: Evidence,
    index: EvidenceIndex,
  ) => readonly Breach[];
}
