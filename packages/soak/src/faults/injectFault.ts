import { setTimeout as sleep } from 'node:timers/promises';
import { assertDefined } from '@jujubecroft/types';

import type { DoneFault, FaultTarget, SoakBounds } from '../evidence.js';
import type { SoakFleet, SoakGateway, SoakReplicaSlot } from '../SoakFleet.js';
import type { ReplicaFault, StoreFault } from '../SoakEnvironment.js';
import { soakNow } from '../soakNow.js';
import type { FaultLink, LinkMode } from './FaultLink.js';
import type { FaultKind, PlannedFault } from './planFaults.js';

/** What faults may do beside processes and links. */
export interface FaultWorld {
  readonly fleet: SoakFleet;
  readonly bounds: SoakBounds;
  /** Puts another configuration in force. */
  readonly changeConfiguration: () => void;
  /** Gives an organisation another key. */
  readonly addKey: () => void;
  /** Lets more callers come for a while. */
  readonly burst: (forMs: number) => void;
}

type Injector = (fault: PlannedFault, world: FaultWorld) => Promise<void>;

/** Pause before a process that ended is started again. */
const RESTART_MS = 250;
const STORM_CHANGES = 6;
const STORM_GAP_MS = 120;
const ROLLING_GAP_MS = 400;
const MAX_DELAY_MS = 400;
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

async function restart(program: SoakGateway['program']): Promise<void> {
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

async function killGateway(
  { program }: SoakGateway,
  forMs: number,
): Promise<void> {
  await program.kill();
  await sleep(forMs);
  program.start();
}

function onLink(
  linkOf: (world: FaultWorld, fault: PlannedFault) => FaultLink,
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
const peerLinkOf = (world: FaultWorld, fault: PlannedFault): FaultLink =>
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
  'configuration-change': (_, world) => {
    world.changeConfiguration();
    return Promise.resolve();
  },
  'configuration-storm': async (_, world) => {
    for (let change = 0; change < STORM_CHANGES; change += 1) {
      world.changeConfiguration();
      await sleep(STORM_GAP_MS);
    }
  },
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
    killGateway(gatewayOf(world, fault), RESTART_MS),
  'gateway-pause': async (fault, world) => {
    const { program } = gatewayOf(world, fault);
    program.pause();
    await sleep(fault.forMs);
    program.resume();
  },
  'gateway-reload': (fault, world) => {
    const { touchSettings, program } = gatewayOf(world, fault);
    touchSettings();
    // The settings may change with a signal or without.
    if (fault.strength < 0.5) {
      program.signal('SIGHUP');
    }
    return Promise.resolve();
  },
  'gateway-rolling-stop': async (_, world) => {
    for (const gateway of world.fleet.gateways) {
      await stopGateway(gateway, world);
      await sleep(ROLLING_GAP_MS);
    }
  },
  'gateway-stop': (fault, world) => stopGateway(gatewayOf(world, fault), world),
  'gateways-kill-all': async ({ forMs }, { fleet }) => {
    await Promise.all(
      fleet.gateways.map(gateway => killGateway(gateway, forMs / 4)),
    );
  },
  'key-added': (_, world) => {
    world.addKey();
    return Promise.resolve();
  },
  'peer-link-cut': onLink(peerLinkOf, cutMode),
  'peer-link-delay': onLink(peerLinkOf, delayMode),
  'peer-link-silent': (fault, world) => {
    peerLinkOf(world, fault).silenceAll();
    return Promise.resolve();
  },
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
  'replica-kill': async (fault, world) => {
    const { program } = replicaOf(world, fault);
    await program.kill();
    await sleep(fault.forMs);
    program.start();
  },
  'replica-link-delay': onLink(replicaLinkOf, delayMode),
  'replica-link-reset': (fault, world) => {
    replicaLinkOf(world, fault).resetAll();
    return Promise.resolve();
  },
  'replica-link-silent': (fault, world) => {
    replicaLinkOf(world, fault).silenceAll();
    return Promise.resolve();
  },
  'replica-loses-answers': replicaFault('losesAnswers'),
  'replica-pause': async (fault, world) => {
    const { program } = replicaOf(world, fault);
    program.pause();
    await sleep(fault.forMs);
    program.resume();
  },
  'replica-truncates': replicaFault('truncates'),
  'store-away': storeFault('away'),
  'store-forgets': (_, { fleet }) => {
    fleet.store.forgetHistory();
    return Promise.resolve();
  },
  'store-link-cut': onLink(storeLinkOf, cutMode),
  'store-link-reset': (fault, world) => {
    storeLinkOf(world, fault).resetAll();
    return Promise.resolve();
  },
  'store-link-silent': (fault, world) => {
    storeLinkOf(world, fault).silenceAll();
    return Promise.resolve();
  },
  'store-loses-replies': storeFault('losesReplies'),
  'store-slow': storeFault('slow'),
};

/** Changes that operators make on purpose and that must disturb nobody. */
const PLANNED: readonly FaultKind[] = [
  'configuration-change',
  'configuration-storm',
  'gateway-reload',
  'gateway-rolling-stop',
  'gateway-stop',
  'key-added',
  'replica-drain',
];

function targetOf(fault: PlannedFault, { fleet }: FaultWorld): FaultTarget {
  const { kind, target } = fault;
  if (kind === 'gateway-rolling-stop' || kind === 'gateways-kill-all') {
    return { what: 'gateway', index: null };
  }
  if (
    kind.startsWith('configuration') ||
    kind === 'key-added' ||
    kind === 'burst'
  ) {
    return { what: 'configuration', index: null };
  }
  if (kind.startsWith('replica')) {
    return { what: 'replica', index: target % fleet.replicas.length };
  }
  if (kind.startsWith('store') && !kind.startsWith('store-link')) {
    return { what: 'store', index: null };
  }
  return { what: 'gateway', index: target % fleet.gateways.length };
}

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
  onDone: (done: DoneFault) => void,
): Promise<void> {
  const done: DoneFault = {
    kind: fault.kind,
    target: targetOf(fault, world),
    fromMs: soakNow(),
    toMs: Infinity,
    planned: PLANNED.includes(fault.kind),
  };
  onDone(done);
  await INJECTORS[fault.kind](fault, world);
  done.toMs = soakNow();
}
