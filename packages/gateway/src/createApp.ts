import type { Server } from 'node:http';
import type { FastifyHttpOptions, FastifyInstance } from 'fastify';
import { fastify } from 'fastify';
import { STRICT_PARSER } from '@jujubecroft/types';

/** Replaces the schema compilers; fails if a route declares a schema. */
const noCompiler = (): never => {
  throw new Error(
    'schema compilers are disabled: routes of the gateway must not declare a schema',
  );
};

/**
 * Creates a web application without schema compilers.
 *
 * No route of the gateway declares a schema. The compilers are the larger part
 * of the framework, and loading them would delay the restart of an instance.
 *
 * @param options - options of the framework
 * @returns the application, not listening yet
 */
export function createApp(
  options: FastifyHttpOptions<Server> = {},
): FastifyInstance {
  return fastify({
    ...options,
    http: { ...STRICT_PARSER, ...options.http },
    schemaController: {
      compilersFactory: {
        buildValidator: () => noCompiler,
        buildSerializer: () => noCompiler,
      },
    },
  });
}
