import type { SoakBounds } from './evidence.js';

/** Bounds of every run. They are shorter than in deployments to keep runs short. */
export const SOAK_BOUNDS: SoakBounds = {
  faultFreeMs: 3000,
  drainMs: 2000,
  graceMs: 5000,
  configurationPropagationMs: 2000,
  retryRatio: 0.2,
  retryExtra: 20,
  retryWindowMs: 10_000,
  attempts: 2,
  slackMs: 400,
};
