import { setTimeout as sleep } from 'node:timers/promises';
import { assertDefined } from '@jujubecroft/types';

import type { DoneFault, SoakBounds } from '../evidence.js';
import type { SoakFleet, SoakGateway, SoakReplicaSlot } from '../SoakFleet.js';
import type { ReplicaFault, StoreFault } from '../SoakEnvironment.js';
import { soakNow } from '../soakNow.js';
import type { SoakProcess } from '../processes/SoakProcess.js';
import type { FaultLink, LinkMode } from './FaultLink.js';
import type { PeerLink } from './PeerLink.js';
import { isPlanned, targetOf } from './faultTargets.js';
import type { FaultKind, PlannedFault } from './planFaults.js';

/** What faults may do beside processes and links. */
export interface FaultWorld {
  readonly fleet: SoakFleet;
  readonly bounds: SoakBounds;
  /** Puts another configuration in force. */
  readonly changeConfiguration: () => void;
  /** Gives an organisation another key. */
  readonly addKey: () => void;
  /** Repeats a request that ends each replica that runs it. */
  readonly repeatCrashing: (forMs: number) => Promise<void>;
  /** Lets more callers come for a while. */
  readonly burst: (forMs: number) => void;
}

/** Told of a fault at its start; its end is filled in later. */
type DoneListener = (done: DoneFault) => void;

type Injector = (
  fault: PlannedFault,
  world: FaultWorld,
  onDone: DoneListener,
) => Promise<void>;

/** Pause before a process that ended is started again. */
const RESTART_MS = 250;
const STORM_CHANGES = 6;
const STORM_GAP_MS = 120;
const ROLLING_GAP_MS = 400;
const MAX_DELAY_MS = 400;
const MAX_LIMIT_PER_S = 6;
/** A replica goes on serving this much longer than it must. */
const LINGER_MS = 500;

const gatewayOf = (
  world: FaultWorld,
  { target }: PlannedFault,
): SoakGateway => {
  const { gateways } = world.fleet;
  return assertDefined(
    gateways[target % gateways.length],
    'a fleet has gateways',
  );
};
const replicaOf = (
  world: FaultWorld,
  { target }: PlannedFault,
): SoakReplicaSlot => {
  const { replicas } = world.fleet;
  return assertDefined(
    replicas[target % replicas.length],
    'a fleet has replicas',
  );
};

async function restart(program: SoakProcess): Promise<void> {
  await sleep(RESTART_MS);
  program.start();
}

async function stopGateway(
  gateway: SoakGateway,
  { bounds }: FaultWorld,
): Promise<void> {
  gateway.program.signal('SIGTERM');
  await gateway.program.ended(bounds.graceMs);
  await restart(gateway.program);
}

async function kill(program: SoakProcess, downMs: number): Promise<void> {
  await program.kill();
  await sleep(downMs);
  program.start();
}

async function pause(program: SoakProcess, forMs: number): Promise<void> {
  program.pause();
  await sleep(forMs);
  program.resume();
}

/** Something that is done at once and has nothing to undo. */
function atOnce(
  act: (world: FaultWorld, fault: PlannedFault) => void,
): Injector {
  return (fault, world) => {
    act(world, fault);
    return Promise.resolve();
  };
}

function onLink(
  linkOf: (world: FaultWorld, fault: PlannedFault) => FaultLink | PeerLink,
  modeOf: (fault: PlannedFault) => LinkMode,
): Injector {
  return async (fault, world) => {
    const link = linkOf(world, fault);
    link.set(modeOf(fault));
    await sleep(fault.forMs);
    link.set({ kind: 'well' });
  };
}

const storeLinkOf = (world: FaultWorld, fault: PlannedFault): FaultLink =>
  gatewayOf(world, fault).storeLink;
const peerLinkOf = (world: FaultWorld, fault: PlannedFault): PeerLink =>
  gatewayOf(world, fault).peerLink;
const replicaLinkOf = (world: FaultWorld, fault: PlannedFault): FaultLink =>
  replicaOf(world, fault).link;

/** One of three ways to be cut off: both ways, or one of them. */
function cutMode({ strength }: PlannedFault): LinkMode {
  const kinds = ['away', 'cutForth', 'cutBack'] as const;
  return { kind: kinds[Math.floor(strength * kinds.length)] ?? 'away' };
}

const delayMode = ({ strength }: PlannedFault): LinkMode => ({
  kind: 'delay',
  ms: Math.round(MAX_DELAY_MS * strength),
});

function storeFault(kind: StoreFault): Injector {
  return async ({ forMs }, { fleet }) => {
    fleet.store.setFault(kind);
    await sleep(forMs);
    fleet.store.setFault('well');
  };
}

function replicaFault(kind: ReplicaFault): Injector {
  return async (fault, world) => {
    const { program } = replicaOf(world, fault);
    program.tell({ order: 'fault', fault: kind });
    await sleep(fault.forMs);
    program.tell({ order: 'fault', fault: 'well' });
  };
}

const INJECTORS: Readonly<Record<FaultKind, Injector>> = {
  burst: ({ forMs }, world) => {
    world.burst(forMs);
    return sleep(forMs);
  },
  'configuration-change': atOnce(world => {
    world.changeConfiguration();
  }),
  'configuration-storm': async (_, world) => {
    for (let change = 0; change < STORM_CHANGES; change += 1) {
      world.changeConfiguration();
      await sleep(STORM_GAP_MS);
    }
  },
  'crashing-request': ({ forMs }, world) => world.repeatCrashing(forMs),
  'gateway-cut': async (fault, world) => {
    const { storeLink, peerLink } = gatewayOf(world, fault);
    const mode = cutMode(fault);
    storeLink.set(mode);
    peerLink.set(mode);
    await sleep(fault.forMs);
    storeLink.set({ kind: 'well' });
    peerLink.set({ kind: 'well' });
  },
  'gateway-kill': (fault, world) =>
    kill(gatewayOf(world, fault).program, RESTART_MS),
  'gateway-pause': (fault, world) =>
    pause(gatewayOf(world, fault).program, fault.forMs),
  'gateway-reload': atOnce((world, fault) => {
    const { touchSettings, program } = gatewayOf(world, fault);
    touchSettings();
    // The settings may change with a signal or without.
    if (fault.strength < 0.5) {
      program.signal('SIGHUP');
    }
  }),
  'gateway-rolling-stop': async (fault, world, onDone) => {
    for (const { index } of world.fleet.gateways) {
      // Each is a stop of its own, which must cut nobody.
      const stop: PlannedFault = {
        ...fault,
        kind: 'gateway-stop',
        target: index,
      };
      await injectFault(stop, world, onDone);
      await sleep(ROLLING_GAP_MS);
    }
  },
  'gateway-stop': (fault, world) => stopGateway(gatewayOf(world, fault), world),
  'gateways-kill-all': async ({ forMs }, { fleet }) => {
    await Promise.all(
      fleet.gateways.map(({ program }) => kill(program, forMs / 4)),
    );
  },
  'key-added': atOnce(world => {
    world.addKey();
  }),
  'peer-link-cut': onLink(peerLinkOf, cutMode),
  'peer-link-delay': onLink(peerLinkOf, delayMode),
  'peer-link-silent': atOnce((world, fault) => {
    peerLinkOf(world, fault).silenceAll();
  }),
  'replica-drain': async (fault, world) => {
    const { program } = replicaOf(world, fault);
    program.tell({
      order: 'leave',
      announces: fault.strength < 0.6,
      forMs: world.bounds.drainMs + LINGER_MS,
    });
    await program.ended(2 * world.bounds.drainMs + fault.forMs);
    await restart(program);
  },
  'replica-flap': async (fault, world) => {
    const { program } = replicaOf(world, fault);
    for (let times = 0; times < 3; times += 1) {
      await program.kill();
      await restart(program);
      await sleep(fault.forMs / 3);
    }
  },
  'replica-garbles': replicaFault('garbles'),
  'replica-grey': replicaFault('grey'),
  'replica-kill': (fault, world) =>
    kill(replicaOf(world, fault).program, fault.forMs),
  'replica-limit': async (fault, world) => {
    const { program } = replicaOf(world, fault);
    program.tell({ order: 'limit', perS: MAX_LIMIT_PER_S * fault.strength });
    await sleep(fault.forMs);
    program.tell({ order: 'limit', perS: null });
  },
  'replica-link-delay': onLink(replicaLinkOf, delayMode),
  'replica-link-reset': atOnce((world, fault) => {
    replicaLinkOf(world, fault).resetAll();
  }),
  'replica-link-silent': atOnce((world, fault) => {
    replicaLinkOf(world, fault).silenceAll();
  }),
  'replica-loses-answers': replicaFault('losesAnswers'),
  'replica-pause': (fault, world) =>
    pause(replicaOf(world, fault).program, fault.forMs),
  'replica-truncates': replicaFault('truncates'),
  'store-away': storeFault('away'),
  'store-forgets': atOnce(({ fleet }) => {
    fleet.store.forgetHistory();
  }),
  'store-link-cut': onLink(storeLinkOf, cutMode),
  'store-link-reset': atOnce((world, fault) => {
    storeLinkOf(world, fault).resetAll();
  }),
  'store-link-silent': atOnce((world, fault) => {
    storeLinkOf(world, fault).silenceAll();
  }),
  'store-loses-replies': storeFault('losesReplies'),
  'store-slow': storeFault('slow'),
};

/**
 * Does one fault and undoes it.
 *
 * @param fault - what to do
 * @param world - to whom
 * @param onDone - gets the fault as done, at its start; its end is filled in later
 */
export async function injectFault(
  fault: PlannedFault,
  world: FaultWorld,
  onDone: DoneListener,
): Promise<void> {
  const done: DoneFault = {
    kind: fault.kind,
    target: targetOf(fault, world.fleet),
    fromMs: soakNow(),
    toMs: Infinity,
    planned: isPlanned(fault.kind),
  };
  onDone(done);
  await INJECTORS[fault.kind](fault, world, onDone);
  done.toMs = soakNow();
}
