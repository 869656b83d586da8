import { GatewayState } from '@jujubecroft/operator/peers';
import type { proto } from '@jujubecroft/operator/peers';

import { sendHttpRequest } from '../backends/sendHttpRequest.js';
import { PULL_PATH, PULL_TYPE } from './createPeerServer.js';

/** Timeout of one request, in milliseconds; the network takes only a few of them. */
const PULL_TIMEOUT_MS = 500;
const OK = 200;

/**
 * Requests everything that this instance lacks from another one.
 *
 * Pulls are rare: they follow a configuration change or a loss of contact. Each uses a
 * new connection, since a pooled one could become unresponsive between two requests.
 *
 * @param address - host and port of the other instance
 * @param state - state of this instance
 * @returns the reply
 * @throws Error if no complete reply arrives in time, or its status isn't 200
 */
export async function pullState(
  address: string,
  state: proto.GatewayState,
): Promise<proto.GatewayState> {
  const { status, body } = await sendHttpRequest({
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
