import type { FastifyInstance } from 'fastify';

import type { GatewayContext } from '../GatewayContext.js';
import { shareResult } from '../util/shareResult.js';

const MS_PER_SECOND = 1000;
/** Time for which the text of the metrics is sent again, in milliseconds. */
const MAX_AGE_MS = 250;

/** Sets the gauges to the current state; called before they are rendered. */
function updateGauges({
  router,
  metrics,
  delays,
  relay,
}: GatewayContext): void {
  const { board } = router;
  const { rss, heapUsed } = process.memoryUsage();
  metrics.memory.set({ part: 'resident' }, rss);
  metrics.memory.set({ part: 'heap' }, heapUsed);
  metrics.loopDelay.set(delays.takeLongestMs() / MS_PER_SECOND);
  metrics.viewAge.set(
    { view: 'replicas' },
    board.replicas.ageMs / MS_PER_SECOND,
  );
  metrics.viewAge.set(
    { view: 'configuration' },
    board.storeClock.ageOf(board.configurationAsOfMs) / MS_PER_SECOND,
  );
  metrics.inFlight.set(router.inFlight);
  metrics.lostPaths.set(board.paths.lostCount);
  metrics.tunnels.set({ role: 'used' }, relay.openCount);
  metrics.barred.set(board.crashes.barred.length);
  const { parts } = board.crashes;
  const barredParts = parts.barred.length;
  metrics.promptParts.set({ state: 'barred' }, barredParts);
  metrics.promptParts.set(
    { state: 'suspect' },
    parts.suspects.length - barredParts,
  );
  metrics.backends.reset();
  board.backends.forEach(({ replica, health }) => {
    const verdict = replica.leaving ? 'leaving' : health.verdict;
    metrics.backends.inc({ service: replica.service, verdict });
  });
  metrics.speeds.reset();
  board.speeds.services.forEach((_, service) => {
    board.speeds.current(service)?.known.forEach(({ speedClass }) => {
      metrics.speeds.inc({ service, speed: speedClass });
    });
  });
  board.table?.cfg.services.forEach(({ id }) => {
    metrics.budgetLeft.set({ service: id }, board.budget.left(id));
  });
}

/**
 * Adds the route that serves the metrics of the instance in the Prometheus text format.
 */
export function serveMetrics(
  app: FastifyInstance,
  context: GatewayContext,
): void {
  const { registry } = context.metrics;
  const render = shareResult(
    () => {
      updateGauges(context);
      return registry.metrics();
    },
    MAX_AGE_MS,
    context.clock,
  );
  app.get('/metrics', async (_req, reply) => {
    await reply.type(registry.contentType).send(await render());
  });
}
