import type { z } from 'zod';

import type { Blackboard } from '../blackboard/Blackboard.js';

/**
 * Description of a policy as data; docs/policies/ has a page for each policy.
 */
export interface PolicyMeta<Options> {
  /** In kebab case, equal to the file name. */
  readonly name: string;
  readonly description: string;
  /** Validates options and supplies the defaults. */
  readonly schema: z.ZodType<Options>;
  readonly defaults: Options;
}

/** A policy's description and its factory. */
export interface PolicyUnit<Options, Policy, Board = Blackboard> {
  readonly meta: PolicyMeta<Options>;
  readonly create: (board: Board, options?: Partial<Options>) => Policy;
}
