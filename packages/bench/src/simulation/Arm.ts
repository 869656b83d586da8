import type { PolicyFactory, RouterOptions } from '@jujubecroft/decisions';

/**
 * Router policies and options under comparison; all arms run on the same calls.
 */
export interface Arm {
  readonly name: string;
  readonly policies: PolicyFactory;
  readonly options: RouterOptions;
  /**
   * Whether engines schedule sequences by tier; otherwise all have the same
   * priority.
   */
  readonly usePriorities: boolean;
}
