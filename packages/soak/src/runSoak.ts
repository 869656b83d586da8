import { monitorEventLoopDelay } from 'node:perf_hooks';

import type { Evidence, InjectedFault } from './evidence.js';
import { PATH_KINDS, PEER_LINK_KINDS } from './faults/faultTargets.js';
import { planFaults } from './faults/planFaults.js';
import { ALL_INVARIANTS } from './promises/allPromises.js';
import { EvidenceIndex } from './promises/EvidenceIndex.js';
import type { Violation } from './promises/SoakInvariant.js';
import { SOAK_BOUNDS } from './soakBounds.js';
import type { SoakEnvironment } from './SoakEnvironment.js';
import { SoakFleet } from './SoakFleet.js';
import type { SoakOptions } from './SoakOptions.js';
import { SoakRun } from './SoakRun.js';

/** Result of checking one invariant. */
export interface InvariantVerdict {
  /** Name of the invariant. */
  readonly invariant: string;
  readonly violations: readonly Violation[];
}

/** Result of one soak. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly InjectedFault[];
  /** Requests that callers sent. */
  readonly sent: number;
  /** Requests that got a complete response with status 200. */
  readonly served: number;
  /** Requests that were refused with status 429 or 503. */
  readonly refused: number;
  /** Calls to the store, including heartbeats of replicas. */
  readonly storeCalls: number;
  /**
   * Longest delay of the event loop of the soak itself, in milliseconds. The store, the
   * links and the callers stand still meanwhile.
   */
  readonly longestDelayMs: number;
  readonly verdicts: readonly InvariantVerdict[];
  /** Whether every checked invariant held. */
  readonly invariantsHeld: boolean;
}

const NS_PER_MS = 1e6;
const HTTP_OK = 200;
const REFUSED_STATUSES: readonly number[] = [429, 503];

function verdictsOf(
  evidence: Evidence,
  untimed: boolean,
): readonly InvariantVerdict[] {
  const index = new EvidenceIndex(evidence);
  return ALL_INVARIANTS.filter(({ timed }) => !(timed && untimed)).map(
    ({ name, check }) => ({
      invariant: name,
      violations: check(evidence, index),
    }),
  );
}

/** Returns the second octet of the loopback addresses, derived from the process id. */
function networkOctetOf(): number {
  return 100 + (process.pid % 100);
}

/**
 * Runs the programs as processes, injects the faults drawn from a seed, and checks
 * the invariants against what callers and replicas observed.
 *
 * @param environment - adapter for the environment of the programs
 * @param options - options of this run
 * @returns the verdict on each invariant, and counts of the run
 * @throws Error if a gateway does not become ready in time
 */
export async function runSoak(
  environment: SoakEnvironment,
  options: SoakOptions,
): Promise<SoakResult> {
  const gateways =
    options.gateways ?? Math.max(2, Math.floor(options.processes / 2));
  const plan = planFaults(options.seed, options.seconds, options.kinds);
  const fleetOptions = {
    gateways,
    replicas: Math.max(4, options.processes - gateways),
    folder: options.folder,
    networkOctet: networkOctetOf(),
    seed: options.seed,
    cutsPaths: plan.some(({ kind }) => PATH_KINDS.includes(kind)),
    relaysPeers: plan.some(({ kind }) => PEER_LINK_KINDS.includes(kind)),
  };
  const fleet = await SoakFleet.start(environment, fleetOptions, SOAK_BOUNDS);
  try {
    const soak = new SoakRun(fleet, environment, options);
    const delays = monitorEventLoopDelay();
    delays.enable();
    const evidence = await soak.run(plan);
    delays.disable();
    const verdicts = verdictsOf(evidence, options.untimed);
    const answers = [...evidence.answers.values()];
    return {
      seed: options.seed,
      faults: evidence.faults,
      sent: evidence.sent.length,
      served: answers.filter(({ status, whole }) => status === HTTP_OK && whole)
        .length,
      refused: answers.filter(({ status }) =>
        REFUSED_STATUSES.includes(status ?? 0),
      ).length,
      storeCalls: fleet.store.calls(),
      longestDelayMs: Math.round(delays.max / NS_PER_MS),
      verdicts,
      invariantsHeld: verdicts.every(
        ({ violations: breaches }) => breaches.length === 0,
      ),
    };
  } finally {
    await fleet.stop();
  }
}
