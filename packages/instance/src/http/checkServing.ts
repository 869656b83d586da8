import { routerError } from '@jujubecroft/types';

import type { InstanceContext } from '../InstanceContext.js';

/**
 * Refuses new work while the instance stops.
 *
 * @param context - of the instance
 * @throws RouterError `instanceLeaving`; what was accepted before goes on
 */
export function checkServing(context: InstanceContext): void {
  if (context.leaving) {
    throw routerError(
      'instanceLeaving',
      'This instance is stopping; use another address.',
    );
  }
}
