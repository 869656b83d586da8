import type { FaultKind } from './faults/planFaults.js';

/** How one soak runs. */
export interface SoakOptions {
  readonly seed: number;
  /** Length of the load, with the calm at its end. */
  readonly seconds: number;
  /** Gateways and replicas together. */
  readonly processes: number;
  /** Where logs and notes go. */
  readonly folder: string;
  /** Leaves out promises that compare times. */
  readonly untimed: boolean;
  /** Kinds of faults to draw from; all of them where omitted. */
  readonly kinds?: readonly FaultKind[];
}
