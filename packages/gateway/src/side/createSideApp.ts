import 'reflect-metadata';

import type { DynamicModule, Type } from '@nestjs/common';
import { Module } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';

import type { GatewayContext } from '../GatewayContext.js';
import { GATEWAY_CONTEXT } from '../GatewayContext.js';
import { MetricsController } from './MetricsController.js';

@Module({})
class SideModule {
  static with(
    context: GatewayContext,
    controllers: readonly Type[],
  ): DynamicModule {
    return {
      module: SideModule,
      controllers: [MetricsController, ...controllers],
      providers: [{ provide: GATEWAY_CONTEXT, useValue: context }],
    };
  }
}

/**
 * Creates the web application beside the callers' traffic: readiness, addresses
 * and metrics.
 *
 * @param context - of the instance
 * @param controllers - that speak as the deployment's callers expect
 * @returns the application, initialised and not listening
 */
export async function createSideApp(
  context: GatewayContext,
  controllers: readonly Type[],
): Promise<NestFastifyApplication> {
  const adapter = new FastifyAdapter({ forceCloseConnections: true });
  const app = await NestFactory.create<NestFastifyApplication>(
    SideModule.with(context, controllers),
    adapter,
    // Nest declares its options as a class, yet takes plain objects.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    { bodyParser: false, logger: false, abortOnError: false },
  );
  await app.init();
  await adapter.getInstance().ready();
  return app;
}
