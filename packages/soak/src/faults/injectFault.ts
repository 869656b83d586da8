import { setTimeout as sleep } from 'node:timers/promises';
import { assertDefined } from '@jujubecroft/types';

import type { CallerContext } from '../callers/SoakCaller.js';
import { drawEarly, drawStalled, sendPieces } from '../callers/sendPieces.js';
import type { ConfigurationVariant } from '../configurationVariants.js';
import type { InjectedFault, SoakBounds } from '../evidence.js';
import type { SoakFleet, SoakGateway, SoakReplicaSlot } from '../SoakFleet.js';
import { SERVICES } from '../SoakFleet.js';
import type { ReplicaFault, StoreFault } from '../SoakEnvironment.js';
import { soakNow } from '../soakNow.js';
import type { SoakProcess } from '../processes/SoakProcess.js';
import { applyReplicaFault } from './applyReplicaFault.js';
import { changeInSeries } from './changeInSeries.js';
import type { FaultLink, LinkMode } from './FaultLink.js';
import type { LinkOrder } from './ReplicaLinks.js';
import type { PeerFaultLink } from './PeerFaultLink.js';
import { isPlanned, targetOf } from './faultTargets.js';
import { cutMode, delayMode } from './linkModes.js';
import type { FaultKind, PlannedFault } from './planFaults.js';
import { silenceReplicas } from './silenceReplicas.js';

/** Fleet and actions that the injectors of faults use. */
export interface FaultContext {
  readonly fleet: SoakFleet;
  readonly bounds: SoakBounds;
  /** Functions and state of callers. */
  readonly callers: CallerContext;
  /** Writes a new configuration; the regular one if no variant is given. */
  readonly changeConfiguration: (variant?: ConfigurationVariant) => void;
  /** Adds a key to an organisation. */
  readonly addKey: () => void;
  /** Repeats a request that crashes each replica that executes it. */
  readonly sendCrashingRequests: (forMs: number) => Promise<void>;
  /** Sends requests that crash replicas and are alike in one part of their prompts. */
  readonly sendCrashingParts: (forMs: number) => Promise<void>;
  /**
   * Adds many callers for a while that keep their connections and send repeatable requests,
   * usually to one service.
   */
  readonly crowd: (forMs: number, service: string) => void;
  /** Adds callers with many requests for a while. */
  readonly burst: (forMs: number) => void;
}

/** Called with a fault at its start. Its `toMs` is set when the fault ends. */
type FaultListener = (injected: InjectedFault) => void;

type Injector = (
  fault: PlannedFault,
  context: FaultContext,
  onStart: FaultListener,
) => Promise<void>;

/** Delay before a process is restarted. */
const RESTART_DELAY_MS = 250;
/** Number of configuration changes in a storm. */
const STORM_CHANGES = 6;
const STORM_GAP_MS = 120;
/** Pause between the stops of a rolling stop. */
const ROLLING_GAP_MS = 400;
const MAX_RATE_LIMIT_PER_S = 6;
const MAX_COPY_AGE_MS = 4000;
const MIN_PAUSE_MS = 1000;
const MAX_PAUSE_MS = 3000;
/** Time that a leaving replica keeps serving beyond the drain time. */
const LINGER_MS = 1500;
/** The same for replicas that take longer to exit. */
const LONG_LINGER_MS = 6000;
/** Share of the leaves that are announced; in the others, the entry is removed. */
const ANNOUNCED_SHARE = 0.6;
/** One in so many replicas leaves when several leave together. */
const TOGETHER_GROUPS = 3;
/** Time within which a gateway reads the store after its start. */
const MAX_START_MS = 400;
/** Difference in strength between replicas that leave together, so that some announce it. */
const STRENGTH_STEP = 0.37;
/** Maximum share of the gateways that lose their paths together. */
const MAX_CUT_SHARE = 0.7;
/** Maximum number of gateways in one rolling stop. */
const MAX_ROLLING_STOPS = 16;
/** One in so many gateways is stopped at the same time in a rolling stop. */
const ROLLING_GROUPS = 8;

const gatewayOf = (
  context: FaultContext,
  { target }: PlannedFault,
): SoakGateway => {
  const { gateways } = context.fleet;
  return assertDefined(
    gateways[target % gateways.length],
    'a fleet has at least one gateway',
  );
};
const replicaOf = (
  context: FaultContext,
  { target }: PlannedFault,
): SoakReplicaSlot => {
  const { replicas } = context.fleet;
  return assertDefined(
    replicas[target % replicas.length],
    'a fleet has at least one replica',
  );
};

async function restart(program: SoakProcess): Promise<void> {
  await sleep(RESTART_DELAY_MS);
  program.start();
}

async function stopGateway(
  gateway: SoakGateway,
  { bounds }: FaultContext,
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

/** Makes a replica leave, and starts the next one at its address. */
async function drainReplica(
  { program }: SoakReplicaSlot,
  { forMs, strength }: PlannedFault,
  { bounds }: FaultContext,
  lingerMs = LINGER_MS,
): Promise<void> {
  program.sendMessage({
    order: 'leave',
    announces: strength < ANNOUNCED_SHARE,
    forMs: bounds.drainMs + lingerMs,
  });
  await program.ended(2 * bounds.drainMs + lingerMs + forMs);
  await restart(program);
}

/** Returns an injector for a fault that takes effect at once and is not undone. */
function immediate(
  action: (context: FaultContext, fault: PlannedFault) => void,
): Injector {
  return (fault, context) => {
    action(context, fault);
    return Promise.resolve();
  };
}

/** Returns an injector that sets the mode of a link for the duration of the fault. */
function onLink(
  linkOf: (
    context: FaultContext,
    fault: PlannedFault,
  ) => FaultLink | PeerFaultLink,
  modeOf: (fault: PlannedFault) => LinkMode,
): Injector {
  return async (fault, context) => {
    const link = linkOf(context, fault);
    link.setMode(modeOf(fault));
    await sleep(fault.forMs);
    link.setMode({ kind: 'well' });
  };
}

const storeLinkOf = (context: FaultContext, fault: PlannedFault): FaultLink =>
  gatewayOf(context, fault).storeLink;
const peerLinkOf = (
  context: FaultContext,
  fault: PlannedFault,
): PeerFaultLink => gatewayOf(context, fault).peerLink;
const replicaLinkOf = (context: FaultContext, fault: PlannedFault): FaultLink =>
  replicaOf(context, fault).link;

function storeFault(kind: StoreFault): Injector {
  return async ({ forMs }, { fleet }) => {
    fleet.store.setFault(kind);
    await sleep(forMs);
    fleet.store.setFault('well');
  };
}

const replicaFault =
  (kind: ReplicaFault): Injector =>
  (fault, context) =>
    applyReplicaFault([replicaOf(context, fault).program], kind, fault.forMs);

const INJECTORS: Readonly<Record<FaultKind, Injector>> = {
  burst: ({ forMs }, context) => {
    context.burst(forMs);
    return sleep(forMs);
  },
  'callers-send-early': ({ forMs }, { callers }) =>
    sendPieces(callers, forMs, drawEarly),
  'callers-stall': ({ forMs }, { callers }) =>
    sendPieces(callers, forMs, drawStalled),
  'configuration-change': immediate(context => {
    context.changeConfiguration();
  }),
  'configuration-series': (fault, { changeConfiguration }) =>
    changeInSeries(fault, changeConfiguration),
  'configuration-storm': async (_, context) => {
    for (let change = 0; change < STORM_CHANGES; change += 1) {
      context.changeConfiguration();
      await sleep(STORM_GAP_MS);
    }
  },
  'crashing-request': ({ forMs }, context) =>
    context.sendCrashingRequests(forMs),
  'crashing-part': ({ forMs }, context) => context.sendCrashingParts(forMs),
  'drains-at-restarts': async (fault, context, onStart) => {
    const { gateways, replicas } = context.fleet;
    const untilMs = soakNow() + fault.forMs;
    const drains: Promise<void>[] = [];
    // Each round, one gateway starts about when the entry of one replica is removed.
    for (let round = fault.target; soakNow() < untilMs; round += 1) {
      const kind = 'gateway-kill';
      const target = round % gateways.length;
      void injectFault({ ...fault, kind, target }, context, onStart);
      await sleep(
        RESTART_DELAY_MS + MAX_START_MS * ((round * STRENGTH_STEP) % 1),
      );
      const slot =
        replicas[
          SERVICES.length + (round % (replicas.length - SERVICES.length))
        ];
      if (slot?.program.isRunning === true) {
        drains.push(
          drainReplica(
            slot,
            { ...fault, forMs: 0, strength: 1 },
            context,
            LONG_LINGER_MS,
          ),
        );
      }
      await sleep(ROLLING_GAP_MS);
    }
    await Promise.all(drains);
  },
  'gateway-cut': async (fault, context) => {
    const { storeLink, peerLink } = gatewayOf(context, fault);
    const mode = cutMode(fault);
    storeLink.setMode(mode);
    peerLink.setMode(mode);
    await sleep(fault.forMs);
    storeLink.setMode({ kind: 'well' });
    peerLink.setMode({ kind: 'well' });
  },
  'gateway-kill': (fault, context) =>
    kill(gatewayOf(context, fault).program, RESTART_DELAY_MS),
  'gateway-loses-paths': async (fault, context) => {
    const { program } = gatewayOf(context, fault);
    const cuts: readonly LinkOrder[] = [
      { order: 'links', mode: 'refused', open: 'reset' },
      { order: 'links', mode: 'refused', open: 'kept' },
      { order: 'links', mode: 'silent', open: 'silent' },
    ];
    const cut = cuts[Math.floor(fault.strength * cuts.length)];
    if (cut) {
      program.sendMessage(cut);
    }
    await sleep(fault.forMs);
    program.sendMessage({ order: 'links', mode: 'well', open: 'kept' });
  },
  'gateways-lose-paths': async (fault, context, onStart) => {
    const { gateways } = context.fleet;
    const count = Math.ceil(MAX_CUT_SHARE * fault.strength * gateways.length);
    const kind = 'gateway-loses-paths';
    await Promise.all(
      Array.from({ length: count }, (_, at) => {
        const target = (fault.target + at) % gateways.length;
        // The cuts of one fault are alike.
        const strength = (fault.target * STRENGTH_STEP) % 1;
        return injectFault(
          { ...fault, kind, target, strength },
          context,
          onStart,
        );
      }),
    );
  },
  'gateway-pause': (fault, context) =>
    pause(gatewayOf(context, fault).program, fault.forMs),
  'gateway-reload': immediate((context, fault) => {
    const { rewriteSettings, program } = gatewayOf(context, fault);
    rewriteSettings();
    // The gateway must notice a change of its settings with and without a signal.
    if (fault.strength < 0.5) {
      program.signal('SIGHUP');
    }
  }),
  'gateway-rolling-stop': async (fault, context, onStart) => {
    const { gateways } = context.fleet;
    const left = [...gateways.keys()]
      .map(at => (fault.target + at) % gateways.length)
      .slice(0, MAX_ROLLING_STOPS);
    const stopInTurn = async (): Promise<void> => {
      let target = left.shift();
      while (target !== undefined) {
        // Each stop is recorded separately, so that the invariant on graceful stops
        // checks it.
        const stop: PlannedFault = { ...fault, kind: 'gateway-stop', target };
        await injectFault(stop, context, onStart);
        await sleep(ROLLING_GAP_MS);
        target = left.shift();
      }
    };
    const together = Math.max(1, Math.floor(gateways.length / ROLLING_GROUPS));
    await Promise.all(Array.from({ length: together }, stopInTurn));
  },
  'gateway-stop': (fault, context) =>
    stopGateway(gatewayOf(context, fault), context),
  'gateways-kill-all': async ({ forMs }, { fleet }) => {
    await Promise.all(
      fleet.gateways.map(({ program }) => kill(program, forMs / 4)),
    );
  },
  'key-added': immediate(context => {
    context.addKey();
  }),
  'peer-link-cut': onLink(peerLinkOf, cutMode),
  'peer-link-delay': onLink(peerLinkOf, delayMode),
  'peer-link-silent': immediate((context, fault) => {
    peerLinkOf(context, fault).silenceAll();
  }),
  'replica-copies-rejections': replicaFault('copiesRejections'),
  'replica-drain': (fault, context) =>
    drainReplica(replicaOf(context, fault), fault, context),
  'replica-flap': async (fault, context) => {
    const { program } = replicaOf(context, fault);
    for (let times = 0; times < 3; times += 1) {
      await program.kill();
      await restart(program);
      await sleep(fault.forMs / 3);
    }
  },
  'replica-garbles': replicaFault('garbles'),
  'replica-grey': replicaFault('grey'),
  'replica-kill': (fault, context) =>
    kill(replicaOf(context, fault).program, fault.forMs),
  'replica-leave-in-answers': async (fault, context) => {
    const { program } = replicaOf(context, fault);
    program.sendMessage({ order: 'leaveInAnswers' });
    await sleep(fault.forMs);
    await kill(program, RESTART_DELAY_MS);
  },
  'replica-limit': async (fault, context) => {
    const { program } = replicaOf(context, fault);
    program.sendMessage({
      order: 'limit',
      perS: MAX_RATE_LIMIT_PER_S * fault.strength,
    });
    await sleep(fault.forMs);
    program.sendMessage({ order: 'limit', perS: null });
  },
  'replica-link-delay': onLink(replicaLinkOf, delayMode),
  'replica-link-reset': immediate((context, fault) => {
    replicaLinkOf(context, fault).resetAll();
  }),
  'replica-link-silent': immediate((context, fault) => {
    replicaLinkOf(context, fault).silenceAll();
  }),
  'replica-loses-answers': replicaFault('losesAnswers'),
  'replica-never-ends': replicaFault('neverEnds'),
  'replica-pause': (fault, context) =>
    pause(replicaOf(context, fault).program, fault.forMs),
  'replica-requests-pauses': async (fault, context) => {
    const { program } = replicaOf(context, fault);
    program.sendMessage({
      order: 'shed',
      pauseMs: MIN_PAUSE_MS + MAX_PAUSE_MS * fault.strength,
    });
    await sleep(fault.forMs);
    program.sendMessage({ order: 'shed', pauseMs: null });
  },
  'replica-silence': (fault, { fleet, crowd }) => {
    const service = SERVICES[fault.target % SERVICES.length] ?? '';
    crowd(fault.forMs, service);
    return silenceReplicas(fault, service, fleet.replicas);
  },
  'replica-spoils-heads': replicaFault('spoilsHeads'),
  'replica-truncates': replicaFault('truncates'),
  'replicas-contradict': ({ forMs }, { fleet }) => {
    const programs = fleet.replicas.map(({ program }) => program);
    return applyReplicaFault(programs, 'contradicts', forMs);
  },
  'replicas-drain-together': async (fault, context) => {
    const untilMs = soakNow() + fault.forMs;
    for (let group = fault.target; soakNow() < untilMs; group += 1) {
      // The first replicas stay, so that each service keeps some.
      const leaving = context.fleet.replicas.filter(
        ({ index }) =>
          index >= SERVICES.length &&
          index % TOGETHER_GROUPS === group % TOGETHER_GROUPS,
      );
      await Promise.all(
        leaving.map(slot => {
          const strength = (fault.strength + slot.index * STRENGTH_STEP) % 1;
          return drainReplica(slot, { ...fault, forMs: 0, strength }, context);
        }),
      );
    }
  },
  'store-away': storeFault('away'),
  'store-forgets': immediate(({ fleet }) => {
    fleet.store.discardHistory();
  }),
  'store-link-cut': onLink(storeLinkOf, cutMode),
  'store-link-reset': immediate((context, fault) => {
    storeLinkOf(context, fault).resetAll();
  }),
  'store-link-silent': immediate((context, fault) => {
    storeLinkOf(context, fault).silenceAll();
  }),
  'store-loses-replies': storeFault('losesReplies'),
  'store-restored': async ({ forMs, strength }, context) => {
    await sleep(forMs - MAX_COPY_AGE_MS);
    const restore = context.fleet.store.copy();
    await sleep(MAX_COPY_AGE_MS * strength);
    restore();
    context.changeConfiguration();
  },
  'store-slow': storeFault('slow'),
};

/**
 * Injects one fault and undoes it.
 *
 * @param fault - fault to inject
 * @param context - fleet and actions to inject it with
 * @param onStart - called with the fault at its start; its `toMs` is set at its end
 */
export async function injectFault(
  fault: PlannedFault,
  context: FaultContext,
  onStart: FaultListener,
): Promise<void> {
  const injected: InjectedFault = {
    kind: fault.kind,
    target: targetOf(fault, context.fleet),
    fromMs: soakNow(),
    toMs: Infinity,
    planned: isPlanned(fault.kind),
  };
  onStart(injected);
  await INJECTORS[fault.kind](fault, context, onStart);
  injected.toMs = soakNow();
}
