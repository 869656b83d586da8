import type { Target } from '../blackboard/RoutedRequest.js';

/**
 * Computes the key of the pool of backend servers that serve a target.
 *
 * @param target - model or service
 * @returns a key that is equal for equal targets
 */
export function poolKey(target: Target): string {
  return target.kind === 'engine'
    ? `engine:${target.model}`
    : `service:${target.service}`;
}
