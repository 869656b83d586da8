import type { BackendLoad } from './BackendLoad.js';
import type { EngineEstimator } from './EngineEstimator.js';

/** The tokens that a request has to wait for at a replica. */
export interface QueuedTokens {
  /** Position of the request in the priority order, 0 first. */
  readonly priority: number;
  /**
   * Whether the request is demoted behind requests that can still meet their
   * target.
   */
  readonly isDeferred: boolean;
  /** Prompt tokens that the replica reads up to the end of this prompt. */
  readonly tokens: number;
}

/**
 * Predicts the time to the first event at a replica, without copying cached
 * parts.
 *
 * @param engine - estimates for the service's engines
 * @param load - load of the replica
 * @param queued - tokens that the request has to wait for
 * @param speedFactor - time of work at the replica relative to the service's mean
 * @returns the time in milliseconds
 */
export function firstEventMs(
  engine: EngineEstimator,
  load: BackendLoad,
  { priority, isDeferred, tokens }: QueuedTokens,
  speedFactor: number,
): number {
  const delayFactor = isDeferred ? engine.deferredDelayFactor(priority) : 1;
  const readMs = tokens / engine.queueTokensPerMs(priority);
  const waitMs = load.latencyRatioFor(priority) * delayFactor * readMs;
  return speedFactor * (engine.baseMs + waitMs);
}
