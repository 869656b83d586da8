import type { GatewayContext } from './GatewayContext.js';
import { acceptedHeads, MALFORMED_HEADS } from './responses/acceptedHeads.js';

/**
 * Logs if the HTTP parser of the runtime accepts malformed heads, and sets the metric for it.
 *
 * Such heads are refused all the same; the operator learns that the runtime is one with which
 * nothing else refuses them.
 *
 * @param context - shared parts of the instance
 */
export async function reportLenientParser({
  log,
  metrics,
}: GatewayContext): Promise<void> {
  const accepted = await acceptedHeads(MALFORMED_HEADS);
  metrics.lenientParser.set(accepted.length);
  if (accepted.length > 0) {
    const { node, llhttp } = process.versions;
    log.write('lenientParser', { accepted, node, llhttp });
  }
}
