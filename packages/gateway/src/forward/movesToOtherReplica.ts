import type { WithdrawReason } from '@jujubecroft/decisions';

/**
 * Whether the request may be retried at another replica after a withdrawal for
 * this reason.
 */
export function movesToOtherReplica(reason: WithdrawReason): boolean {
  return reason === 'silent' || reason === 'replicaRestarted';
}
