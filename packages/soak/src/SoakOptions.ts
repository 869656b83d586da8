import type { FaultKind } from './faults/planFaults.js';

/** Options of one soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the load in seconds, including the fault-free period at its end. */
  readonly seconds: number;
  /** Number of gateways and replicas together. */
  readonly processes: number;
  /** Number of gateways among them; half if omitted. */
  readonly gateways?: number;
  /** Folder for logs and notes. */
  readonly folder: string;
  /** Whether to skip invariants that compare times. */
  readonly untimed: boolean;
  /** Kinds of faults to draw from. Defaults to all. */
  readonly kinds?: readonly FaultKind[];
}
