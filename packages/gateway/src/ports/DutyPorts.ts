import type {
  HoldingRow,
  HoldingWrite,
  ReplicaOrder,
  WindowUsage,
} from '@jujubecroft/decisions';
import type { InstanceId } from '@jujubecroft/types';

/**
 * The row that records the holder of the duties, with the store's clock at the
 * read, in milliseconds.
 */
export interface HoldingRead {
  readonly row: HoldingRow;
  readonly storeMs: number;
}

/** Result of a conditional write. */
export type HoldingWriteResult =
  | { readonly kind: 'refused' }
  | {
      readonly kind: 'written';
      readonly version: number;
      readonly storeMs: number;
    };

/** Stores which instance holds the duties; every call rejects on failure. */
export interface HoldingStore {
  readonly read: () => Promise<HoldingRead>;
  /**
   * Writes the row conditionally; rejects if it is unknown whether the write
   * took effect.
   */
  readonly write: (write: HoldingWrite) => Promise<HoldingWriteResult>;
}

/**
 * Identity under which a duty is performed: the instance and its fencing token.
 */
export interface DutyCaller {
  readonly instance: InstanceId;
  readonly token: number;
}

/**
 * Result of a call to the platform: `refused` if it has seen a higher token or
 * cannot provide the replicas, `busy` if it receives more calls than it
 * accepts.
 */
export type DutyCallResult = 'accepted' | 'busy' | 'refused';

/**
 * Calls that one instance makes on behalf of all; each rejects if no response
 * arrives.
 */
export interface DutyPlatform {
  readonly reportUsage: (
    caller: DutyCaller,
    usage: WindowUsage,
  ) => Promise<DutyCallResult>;
  readonly orderReplicas: (
    caller: DutyCaller,
    order: ReplicaOrder,
  ) => Promise<DutyCallResult>;
  readonly close: () => void;
}

/**
 * Store and platform through which the duties of a deployment are performed.
 */
export interface DutyPorts {
  readonly holding: HoldingStore;
  readonly platform: DutyPlatform;
}
