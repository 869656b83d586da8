import type { Replica } from '@jujubecroft/types';

import type { ExchangeEnd } from '../backends/sendAttempt.js';
import type { GatewayContext } from '../GatewayContext.js';
import type { Timers } from '../ports/Timers.js';
import type { RelayedConnection } from '../relay/RelayedConnection.js';
import type { ResponseAssembler } from './ResponseAssembler.js';

/** Interval at which a withdrawal is noticed, in milliseconds. */
const POLL_MS = 50;
/**
 * Number of intervals for which the check goes on after a withdrawal: a response that is
 * complete after all is better than none, but its time may have passed.
 */
const POLLS_AFTER_WITHDRAWAL = 6;

/** The connection of an exchange. */
export interface ExchangeConnection {
  readonly replica: Replica;
  /** How it was relayed; null if it was direct. */
  readonly relayed: RelayedConnection | null;
}

/** Waits for a confirmation; false if it takes too long after a withdrawal. */
async function waitFor(
  confirmation: Promise<boolean>,
  { sleep }: Timers,
  isWithdrawn: () => boolean,
): Promise<boolean> {
  let pollsLeft = POLLS_AFTER_WITHDRAWAL;
  while (pollsLeft > 0) {
    const isConfirmed = await Promise.race([
      confirmation,
      sleep(POLL_MS).then(() => null),
    ]);
    if (isConfirmed !== null) {
      return isConfirmed;
    }
    pollsLeft -= isWithdrawn() ? 1 : 0;
  }
  return false;
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
  {
    endConfirmation,
    timers,
  }: Pick<GatewayContext, 'endConfirmation' | 'timers'>,
  { replica, relayed }: ExchangeConnection,
  exchangeEnd: ExchangeEnd,
  assembler: Pick<ResponseAssembler, 'endNeedsProof'>,
  isWithdrawn: () => boolean,
): Promise<ExchangeEnd> {
  if (exchangeEnd.kind !== 'complete' || !assembler.endNeedsProof) {
    return exchangeEnd;
  }
  const isConfirmed = await waitFor(
    endConfirmation.confirm(replica, relayed),
    timers,
    isWithdrawn,
  );
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
