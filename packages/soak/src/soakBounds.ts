import type { SoakBounds } from './evidence.js';

/** Bounds of every run; shorter than on real deployments, so that runs are short too. */
export const SOAK_BOUNDS: SoakBounds = {
  contactMs: 3000,
  drainMs: 2000,
  graceMs: 5000,
  configurationMs: 2000,
  retryRatio: 0.2,
  retryExtra: 20,
  retryWindowMs: 10_000,
  attempts: 2,
  slackMs: 400,
};
