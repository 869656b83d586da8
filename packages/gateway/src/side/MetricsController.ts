import { Controller, Get, Header, Inject } from '@nestjs/common';

import type { GatewayContext } from '../GatewayContext.js';
import { GATEWAY_CONTEXT } from '../GatewayContext.js';

const MS_PER_SECOND = 1000;

/** Serves the metrics of the instance as text. */
@Controller()
export class MetricsController {
  constructor(
    @Inject(GATEWAY_CONTEXT) private readonly context: GatewayContext,
  ) {}

  @Get('metrics')
  @Header('content-type', 'text/plain; version=0.0.4')
  read(): Promise<string> {
    this.#refresh();
    return this.context.metrics.registry.metrics();
  }

  /** Gauges are set when somebody reads them. */
  #refresh(): void {
    const { router, metrics, clock } = this.context;
    const { board } = router;
    metrics.viewAge.set(
      { view: 'replicas' },
      board.replicas.ageMs / MS_PER_SECOND,
    );
    metrics.viewAge.set(
      { view: 'configuration' },
      (clock() - board.configurationAsOfMs) / MS_PER_SECOND,
    );
    metrics.inFlight.set(router.inFlight);
    metrics.backends.reset();
    board.backends.forEach(({ replica, health }) => {
      const verdict = replica.leaving ? 'leaving' : health.verdict;
      metrics.backends.inc({ service: replica.service, verdict });
    });
    board.table?.cfg.services.forEach(({ id }) => {
      metrics.budgetLeft.set({ service: id }, board.budget.left(id));
    });
  }
}
