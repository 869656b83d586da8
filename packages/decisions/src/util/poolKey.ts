import type { Target } from '../blackboard/RoutedRequest.js';

/**
 * Names the pool of backend servers that can answer a target.
 *
 * @param target - model or plain service
 * @returns a key that is equal for equal targets
 */
export function poolKey(target: Target): string {
  return target.kind === 'engine'
    ? `engine:${target.model}`
    : `service:${target.service}`;
}
