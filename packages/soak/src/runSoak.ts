import type { DoneFault, Evidence } from './evidence.js';
import { planFaults } from './faults/planFaults.js';
import { ALL_PROMISES } from './promises/allPromises.js';
import { EvidenceIndex } from './promises/EvidenceIndex.js';
import type { Breach } from './promises/SoakPromise.js';
import { SOAK_BOUNDS } from './soakBounds.js';
import type { SoakEnvironment } from './SoakEnvironment.js';
import { SoakFleet } from './SoakFleet.js';
import type { SoakOptions } from './SoakOptions.js';
import { SoakRun } from './SoakRun.js';

/** What became of one promise. */
export interface PromiseVerdict {
  readonly promise: string;
  readonly breaches: readonly Breach[];
}

/** Result of one soak. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly DoneFault[];
  readonly sent: number;
  readonly served: number;
  readonly refused: number;
  /** Calls of the store, heartbeats of replicas too. */
  readonly storeCalls: number;
  readonly verdicts: readonly PromiseVerdict[];
  readonly kept: boolean;
}

const OK = 200;
const REFUSED: readonly number[] = [429, 503];

function verdictsOf(
  evidence: Evidence,
  untimed: boolean,
): readonly PromiseVerdict[] {
  const index = new EvidenceIndex(evidence);
  return ALL_PROMISES.filter(({ timed }) => !(timed && untimed)).map(
    ({ name, check }) => ({ promise: name, breaches: check(evidence, index) }),
  );
}

/** Second byte of the loopback addresses; two soaks at once should differ. */
function networkOf(): number {
  return 100 + (process.pid % 100);
}

/**
 * Runs the programs as processes, injects the faults of a seed and checks what
 * callers and replicas saw.
 *
 * @param environment - the surroundings
 * @param options - of this run
 * @returns the verdicts of all promises
 * @throws Error when the programs do not come up
 */
export async function runSoak(
  environment: SoakEnvironment,
  options: SoakOptions,
): Promise<SoakResult> {
  const gateways = Math.max(2, Math.floor(options.processes / 2));
  const size = {
    gateways,
    replicas: Math.max(4, options.processes - gateways),
    folder: options.folder,
    network: networkOf(),
    seed: options.seed,
  };
  const fleet = await SoakFleet.start(environment, size, SOAK_BOUNDS);
  try {
    const soak = new SoakRun(fleet, environment, options);
    const plan = planFaults(options.seed, options.seconds, options.kinds);
    const evidence = await soak.run(plan);
    const verdicts = verdictsOf(evidence, options.untimed);
    const answers = [...evidence.answers.values()];
    return {
      seed: options.seed,
      faults: evidence.faults,
      sent: evidence.sent.length,
      served: answers.filter(({ status, whole }) => status === OK && whole)
        .length,
      refused: answers.filter(({ status }) => REFUSED.includes(status ?? 0))
        .length,
      storeCalls: fleet.store.calls(),
      verdicts,
      kept: verdicts.every(({ breaches }) => breaches.length === 0),
    };
  } finally {
    await fleet.stop();
  }
}
