import { Controller, Get, Inject, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';

import { CONTEXT, type InstanceContext } from '../InstanceContext.js';

const UNAVAILABLE = 503;
const OK = 200;

/** Serves liveness, readiness and metrics. */
@Controller()
export class HealthController {
  constructor(@Inject(CONTEXT) private readonly context: InstanceContext) {}

  /** Liveness: always succeeds while the process runs. */
  @Get('health')
  health(): object {
    return { status: 'ok' };
  }

  /** Readiness: the instance has a configuration and is not stopping. */
  @Get('ready')
  ready(@Res() reply: FastifyReply): void {
    const { revision } = this.context.host.configuration;
    const ready = !this.context.leaving && revision > 0;
    void reply.code(ready ? OK : UNAVAILABLE).send({ ready, revision });
  }

  @Get('metrics')
  async metrics(@Res() reply: FastifyReply): Promise<void> {
    const { registry } = this.context.metrics;
    const body = await registry.metrics();
    await reply.header('content-type', registry.contentType).send(body);
  }
}
