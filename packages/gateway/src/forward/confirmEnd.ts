import type { Replica } from '@jujubecroft/types';

import type { ExchangeEnd } from '../backends/sendAttempt.js';
import type { GatewayContext } from '../GatewayContext.js';
import type { RelayedConnection } from '../relay/RelayedConnection.js';
import type { ResponseAssembler } from './ResponseAssembler.js';

/** The connection of an exchange. */
export interface ExchangeConnection {
  readonly replica: Replica;
  /** How it was relayed; null if it was direct. */
  readonly relayed: RelayedConnection | null;
}

/**
 * Turns the end of an exchange into a failure if only the end of its connection states that the
 * response is complete, and its replica can't be shown to run afterwards.
 *
 * @param context - shared parts of the instance
 * @param connection - connection of the exchange
 * @param exchangeEnd - how the exchange ended
 * @param assembler - received the response
 * @param isWithdrawn - whether this instance has withdrawn the attempt by the end of the check
 * @returns the end, once it is certain
 */
export async function confirmEnd(
  { endConfirmation }: Pick<GatewayContext, 'endConfirmation'>,
  { replica, relayed }: ExchangeConnection,
  exchangeEnd: ExchangeEnd,
  assembler: Pick<ResponseAssembler, 'endNeedsProof'>,
  isWithdrawn: () => boolean,
): Promise<ExchangeEnd> {
  if (exchangeEnd.kind !== 'complete' || !assembler.endNeedsProof) {
    return exchangeEnd;
  }
  const isConfirmed = await endConfirmation.confirm(replica, relayed);
  if (isConfirmed) {
    return exchangeEnd;
  }
  return isWithdrawn()
    ? { kind: 'aborted', sent: true }
    : {
        kind: 'failed',
        sent: true,
        reason: 'replica not reachable after the end of its connection',
        reused: false,
        wasReset: false,
      };
}
