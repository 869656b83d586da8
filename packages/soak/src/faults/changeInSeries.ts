import { setTimeout as sleep } from 'node:timers/promises';
import murmurhash from 'murmurhash';
import { createRandom } from '@jujubecroft/types';

import type { ConfigurationVariant } from '../configurationVariants.js';
import { nextVariant, REGULAR_VARIANT } from '../configurationVariants.js';
import { soakNow } from '../soakNow.js';
import type { PlannedFault } from './planFaults.js';

const MAX_GAP_MS = 600;

/**
 * Writes configurations in quick series: routes that are moved, split or dropped, time
 * limits, limits for idle connections, and keys that are added and removed. Ends with the
 * regular configuration.
 *
 * @param fault - drawn numbers and duration of the series
 * @param change - writes a configuration
 */
export async function changeInSeries(
  { forMs, target }: PlannedFault,
  change: (variant: ConfigurationVariant) => void,
): Promise<void> {
  const random = createRandom(murmurhash.v3(`series ${target}`));
  const untilMs = soakNow() + forMs;
  let variant = REGULAR_VARIANT;
  while (soakNow() < untilMs) {
    variant = nextVariant(variant, random);
    change(variant);
    await sleep(MAX_GAP_MS * random());
  }
  change(REGULAR_VARIANT);
}
