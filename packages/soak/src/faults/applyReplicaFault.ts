import { setTimeout as sleep } from 'node:timers/promises';

import type { SoakProcess } from '../processes/SoakProcess.js';
import type { ReplicaFault } from '../SoakEnvironment.js';

/**
 * Gives replicas a fault for a while.
 *
 * @param programs - processes of the replicas
 * @param fault - the fault
 * @param forMs - duration
 */
export async function applyReplicaFault(
  programs: readonly Pick<SoakProcess, 'sendMessage'>[],
  fault: ReplicaFault,
  forMs: number,
): Promise<void> {
  programs.forEach(program => {
    program.sendMessage({ order: 'fault', fault });
  });
  await sleep(forMs);
  programs.forEach(program => {
    program.sendMessage({ order: 'fault', fault: 'well' });
  });
}
