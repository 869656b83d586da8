import { setTimeout as sleep } from 'node:timers/promises';
import murmurhash from 'murmurhash';
import { createRandom } from '@jujubecroft/types';

import type { SoakReplicaSlot } from '../SoakFleet.js';
import { serviceOf } from '../SoakFleet.js';
import { soakNow } from '../soakNow.js';
import type { PlannedFault } from './planFaults.js';

const MIN_SILENCE_MS = 500;
const SILENCE_RANGE_MS = 1000;
/** Maximum time between the end of a silence and the next one. */
const MAX_GAP_MS = 1200;
/** Shares of the replicas of a service that fall silent together, at least one. */
const SILENT_SHARES: readonly number[] = [0, 0.5, 1];

/**
 * Makes one, half or all replicas of a service write nothing for a while, again and
 * again. They run on and report their entries, and their connections stay open.
 *
 * @param fault - drawn numbers and duration of the whole series
 * @param service - the service
 * @param slots - all replicas
 */
export async function silenceReplicas(
  { forMs, target }: PlannedFault,
  service: string,
  slots: readonly Pick<SoakReplicaSlot, 'index' | 'program'>[],
): Promise<void> {
  const random = createRandom(murmurhash.v3(`silence ${target}`));
  const pick = <T>(items: readonly T[]): T =>
    items[Math.floor(random() * items.length)] as T;
  const untilMs = soakNow() + forMs;
  while (soakNow() < untilMs) {
    const share = pick(SILENT_SHARES);
    const ofService = slots.filter(
      ({ index, program }) => serviceOf(index, program.incarnation) === service,
    );
    const count = Math.max(1, Math.floor(share * ofService.length));
    const first = Math.floor(random() * ofService.length);
    const silenceMs = MIN_SILENCE_MS + SILENCE_RANGE_MS * random();
    [...ofService.slice(first), ...ofService.slice(0, first)]
      .slice(0, count)
      .forEach(({ program }) => {
        program.sendMessage({ order: 'silence', forMs: silenceMs });
      });
    await sleep(silenceMs + MAX_GAP_MS * random());
  }
}
