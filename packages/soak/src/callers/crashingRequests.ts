import type { WorkOrder } from '../answers.js';
import type { SoakKind } from '../evidence.js';

/** Work of a request that crashes each replica that executes it. */
export const CRASHING_WORK: WorkOrder = {
  workMs: 60,
  events: 0,
  gapMs: 0,
  crashes: true,
};

/** A request that crashes replicas, as it is drawn. */
export interface CrashingRequest {
  readonly kind: SoakKind;
  readonly target: string;
  readonly work: WorkOrder;
}

/** A request that ends each replica that runs it. */
export const CRASHING_REQUEST: CrashingRequest = {
  kind: 'safe',
  target: '/safe/crash',
  work: CRASHING_WORK,
};
/** Part of a prompt that crashes each replica which begins to answer a request with it. */
export const CRASHING_PART = 'dead';
