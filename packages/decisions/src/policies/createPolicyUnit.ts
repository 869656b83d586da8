import type { z } from 'zod';

import type { Blackboard } from '../blackboard/Blackboard.js';
import type { PolicyUnit } from './PolicyUnit.js';

/** The parts from which a policy unit is created. */
export interface PolicyParts<Options, Policy, Board> {
  readonly name: string;
  readonly description: string;
  readonly schema: z.ZodType<Options>;
  readonly create: (board: Board, options: Options) => Policy;
}

/**
 * Creates a policy unit whose factory validates its options first.
 *
 * @param parts - name, description, option schema and factory
 * @returns the unit for the catalogue
 */
export function createPolicyUnit<Options, Policy, Board = Blackboard>(
  parts: PolicyParts<Options, Policy, Board>,
): PolicyUnit<Options, Policy, Board> {
  const { name, description, schema, create } = parts;
  return {
    meta: { name, description, schema, defaults: schema.parse({}) },
    create: (board, options = {}) => create(board, schema.parse(options)),
  };
}
