import type { Server } from 'node:http';
import type { FastifyHttpOptions, FastifyInstance } from 'fastify';
import { fastify } from 'fastify';

/** Compiles nothing, whatever the schema. */
const noCompiler = (): never => {
  throw new Error('no route here declares a schema');
};

/**
 * Creates a web application without compilers of schemas.
 *
 * No route here declares a schema. The compilers are the larger part of the
 * framework, and an instance that was killed is back only when all is loaded.
 *
 * @param options - of the framework
 * @returns the application, not listening yet
 */
export function createApp(
  options: FastifyHttpOptions<Server> = {},
): FastifyInstance {
  return fastify({
    ...options,
    schemaController: {
      compilersFactory: {
        buildValidator: () => noCompiler,
        buildSerializer: () => noCompiler,
      },
    },
  });
}
