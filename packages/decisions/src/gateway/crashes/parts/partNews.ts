import type { PromptPartKey } from '@jujubecroft/types';

/** What one instance reports to another about prompt parts, besides crashes. */
export interface PartNews {
  /** Parts that the sender suspects; who has served them is asked to say so. */
  readonly asked: readonly PromptPartKey[];
  /** Parts that were asked about and have been served at some time. */
  readonly served: readonly PromptPartKey[];
}

/** Message of an instance that suspects no part and was not asked. */
export const EMPTY_PART_NEWS: PartNews = { asked: [], served: [] };
