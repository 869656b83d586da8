import { GatewayState } from '@jujubecroft/operator/peers';
import type { proto } from '@jujubecroft/operator/peers';

import { requestWhole } from '../backends/requestWhole.js';
import { PULL_PATH, PULL_TYPE } from './createPeerServer.js';

/** Bound on one request; other instances are a few milliseconds away. */
const PULL_TIMEOUT_MS = 500;
const OK = 200;

/**
 * Asks another instance for all that this one lacks.
 *
 * Rare, as it follows a change of configuration or a time out of touch; a
 * connection of its own means that none can fall silent between two requests.
 *
 * @param address - host and port of the other
 * @param state - what this instance knows
 * @returns what the other says
 * @throws Error when no whole answer came in time
 */
export async function pullState(
  address: string,
  state: proto.GatewayState,
): Promise<proto.GatewayState> {
  const { status, body } = await requestWhole({
    address,
    method: 'POST',
    path: PULL_PATH,
    type: PULL_TYPE,
    body: GatewayState.encode(state).finish(),
    timeoutMs: PULL_TIMEOUT_MS,
  });
  if (status !== OK) {
    throw new Error(`status ${status}`);
  }
  return GatewayState.decode(body);
}
