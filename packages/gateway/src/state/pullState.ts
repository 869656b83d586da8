import { Client } from 'undici';
import { GatewayState } from '@jujubecroft/operator/peers';
import type { proto } from '@jujubecroft/operator/peers';

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
  const client = new Client(`http://${address}`);
  try {
    const res = await client.request({
      method: 'POST',
      path: PULL_PATH,
      headers: { 'content-type': PULL_TYPE },
      body: GatewayState.encode(state).finish(),
      signal: AbortSignal.timeout(PULL_TIMEOUT_MS),
    });
    const body = await res.body.arrayBuffer();
    if (res.statusCode !== OK) {
      throw new Error(`status ${res.statusCode}`);
    }
    return GatewayState.decode(new Uint8Array(body));
  } finally {
    await client.destroy();
  }
}
