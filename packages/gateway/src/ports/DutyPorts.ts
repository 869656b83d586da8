import type {
  HoldingRow,
  HoldingWrite,
  ReplicaOrder,
  WindowUsage,
} from '@jujubecroft/decisions';
import type { InstanceId } from '@jujubecroft/types';

/** The row of the holding, with the store's clock when it was read. */
export interface HoldingRead {
  readonly row: HoldingRow;
  readonly storeMs: number;
}

/** What the store said to a conditional write. */
export type HoldingWritten =
  | { readonly kind: 'refused' }
  | {
      readonly kind: 'written';
      readonly version: number;
      readonly storeMs: number;
    };

/** Keeps who holds the duties; every call rejects when it fails. */
export interface HoldingStore {
  readonly read: () => Promise<HoldingRead>;
  /** Rejects where it isn't known whether the write is done. */
  readonly write: (write: HoldingWrite) => Promise<HoldingWritten>;
}

/** In whose name a duty is done. */
export interface DutyCaller {
  readonly instance: InstanceId;
  readonly token: number;
}

/**
 * What the platform said to a call: `refused` for a higher token that it has seen, or
 * for replicas that are not to be had; `busy` for more calls than it takes.
 */
export type DutyAnswer = 'accepted' | 'busy' | 'refused';

/** Calls that one instance makes for all; each rejects where no answer came. */
export interface DutyPlatform {
  readonly reportUsage: (
    caller: DutyCaller,
    usage: WindowUsage,
  ) => Promise<DutyAnswer>;
  readonly orderReplicas: (
    caller: DutyCaller,
    order: ReplicaOrder,
  ) => Promise<DutyAnswer>;
  readonly close: () => void;
}

/** How the duties of a deployment are done. */
export interface DutyPorts {
  readonly holding: HoldingStore;
  readonly platform: DutyPlatform;
}
