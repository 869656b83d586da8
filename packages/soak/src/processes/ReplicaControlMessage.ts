import type { ReplicaFault } from '../SoakEnvironment.js';

/** Message from the soak to a replica process, sent over the IPC channel. */
export type ReplicaControlMessage =
  | {
      readonly order: 'leave';
      /**
       * Whether to mark the entry as leaving and announce the leave in answers; otherwise
       * the entry is removed, and answers say nothing.
       */
      readonly announces: boolean;
      /** Time for which the replica keeps serving after the store has acknowledged. */
      readonly forMs: number;
    }
  | { readonly order: 'fault'; readonly fault: ReplicaFault }
  /** Announces in answers alone that the replica is leaving. */
  | { readonly order: 'leaveInAnswers' }
  /** Refuses all requests with a requested pause; null to accept them again. */
  | { readonly order: 'shed'; readonly pauseMs: number | null }
  /** Writes nothing for a while, and goes on afterwards. */
  | { readonly order: 'silence'; readonly forMs: number }
  /** Sets the rate limit in requests per second; null for no limit. */
  | { readonly order: 'limit'; readonly perS: number | null };
