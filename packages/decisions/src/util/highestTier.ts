import type { Tier } from '@jujubecroft/types';

/** Requests of this tier are never shed to make room for others. */
export const HIGHEST_TIER: Tier = 1;
