import type { z } from 'zod';

import type { Blackboard } from '../blackboard/Blackboard.js';

/** What a policy is, as data; docs/policies/ has a page for each. */
export interface PolicyMeta<Options> {
  /** Kebab-case, equal to the file name. */
  readonly name: string;
  readonly description: string;
  /** Checks options and supplies the defaults. */
  readonly schema: z.ZodType<Options>;
  readonly defaults: Options;
}

/** A policy as data plus a factory. */
export interface PolicyUnit<Options, Policy, Board = Blackboard> {
  readonly meta: PolicyMeta<Options>;
  readonly create: (board: Board, options?: Partial<Options>) => Policy;
}
