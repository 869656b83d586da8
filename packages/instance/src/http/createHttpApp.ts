import 'reflect-metadata';

import type { DynamicModule } from '@nestjs/common';
import { Module } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import {
  connectionErrorBody,
  CountedResponse,
  DEFAULT_MACHINE,
  divideResources,
  handleConnectionErrors,
  limitClients,
  summariseLimits,
} from '@jujubecroft/http-server';
import { STRICT_PARSER } from '@jujubecroft/types';

import { CONTEXT, type InstanceContext } from '../InstanceContext.js';
import { AddressController } from './AddressController.js';
import { ChatController } from './ChatController.js';
import { ErrorFilter } from './ErrorFilter.js';
import { HealthController } from './HealthController.js';
import { ServiceController } from './ServiceController.js';

/** Methods whose handlers the framework calls before it has read a body. */
const METHODS_WITHOUT_BODY: ReadonlySet<string | undefined> = new Set([
  'GET',
  'HEAD',
  'TRACE',
]);
/** Timeouts for heads and whole requests, and the interval at which they are checked. */
const HEADERS_TIMEOUT_MS = 5000;
const REQUEST_TIMEOUT_MS = 60_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Maximum number of calls that one log line names. */
const MAX_LOGGED_CALLS = 8;

@Module({})
class InstanceModule {
  static with(context: InstanceContext): DynamicModule {
    return {
      module: InstanceModule,
      controllers: [
        AddressController,
        ChatController,
        HealthController,
        ServiceController,
      ],
      providers: [{ provide: CONTEXT, useValue: context }],
    };
  }
}

/**
 * Creates the HTTP application for callers.
 *
 * @param context - context of the instance
 * @returns the application, which does not listen yet
 */
export async function createHttpApp(
  context: InstanceContext,
): Promise<NestFastifyApplication> {
  const adapter = new FastifyAdapter({
    bodyLimit: context.settings.maxBodyBytes,
    forceCloseConnections: 'idle',
    http: {
      ...STRICT_PARSER,
      ServerResponse: CountedResponse,
      headersTimeout: HEADERS_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    },
    requestTimeout: REQUEST_TIMEOUT_MS,
  });
  const fastify = adapter.getInstance();
  handleConnectionErrors(fastify.server, {
    hasBegun: ({ complete, method }) =>
      complete || METHODS_WITHOUT_BODY.has(method),
    bodyOf: connectionErrorBody,
    onError: ({ code, status, unanswered }) => {
      const calls = unanswered
        .slice(0, MAX_LOGGED_CALLS)
        .map(({ method = '', url = '' }) => `${method} ${url}`);
      context.log.write('connectionError', { code, status, calls });
    },
  });
  const { callers, bodyBytes } = divideResources(DEFAULT_MACHINE);
  limitClients(
    fastify.server,
    { ...callers, countsBodies: true, maxHeldBytes: bodyBytes },
    summariseLimits(summary => {
      context.log.write('clientLimitReached', {
        server: 'callers',
        ...summary,
      });
    }),
  );
  fastify.removeAllContentTypeParsers();
  // Bodies are not parsed, since plain services receive them unchanged.
  fastify.addContentTypeParser(
    '*',
    { parseAs: 'buffer' },
    (_req, body, done) => {
      done(null, body);
    },
  );
  const app = await NestFactory.create<NestFastifyApplication>(
    InstanceModule.with(context),
    adapter,
    // Nest declares its options as a class but accepts plain objects.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    { bodyParser: false, logger: false, abortOnError: false },
  );
  app.useGlobalFilters(new ErrorFilter(context.log));
  return app;
}
