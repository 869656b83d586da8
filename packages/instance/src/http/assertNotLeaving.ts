import { routerError } from '@jujubecroft/types';

import type { InstanceContext } from '../InstanceContext.js';

/**
 * Rejects a new request while the instance is stopping.
 *
 * Requests that were accepted earlier are still finished.
 *
 * @param context - context of the instance
 * @throws RouterError `instanceLeaving` if a stop has begun
 */
export function assertNotLeaving(context: InstanceContext): void {
  if (context.leaving) {
    throw routerError(
      'instanceLeaving',
      'This instance is stopping; use another address.',
    );
  }
}
