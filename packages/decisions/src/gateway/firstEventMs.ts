import type { BackendLoad } from './BackendLoad.js';
import type { EngineEstimator } from './EngineEstimator.js';

/** What a request has to wait for at a replica. */
export interface QueuedTokens {
  /** Of the request, 0 first. */
  readonly priority: number;
  /** Whether it steps behind what can still be on time. */
  readonly isDeferred: boolean;
  /** Prompt tokens to be read there up to its end. */
  readonly tokens: number;
}

/**
 * Expected time to a first event at a replica, without copies of cached parts.
 *
 * @param engine - what was learnt of the service's engines
 * @param load - of the replica
 * @param queued - what is to be read
 * @returns the time, in milliseconds
 */
export function firstEventMs(
  engine: EngineEstimator,
  load: BackendLoad,
  { priority, isDeferred, tokens }: QueuedTokens,
): number {
  const stretch = isDeferred ? engine.deferredStretch(priority) : 1;
  const readMs = tokens / engine.queueTokensPerMs(priority);
  return engine.baseMs + load.slownessFor(priority) * stretch * readMs;
}
