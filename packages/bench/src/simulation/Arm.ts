import type { PolicyFactory, RouterOptions } from '@jujubecroft/decisions';

/** One way of deciding, run side by side with others on the same calls. */
export interface Arm {
  readonly name: string;
  readonly policies: PolicyFactory;
  readonly options: RouterOptions;
  /** Whether engines are told the tier as their priority. */
  readonly usePriorities: boolean;
}
