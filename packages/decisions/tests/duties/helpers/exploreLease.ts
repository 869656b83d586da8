import type { InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import type { DutyAct } from '@jujubecroft/testing';
import { faultOf } from '@jujubecroft/testing';

import type {
  HolderId,
  HoldingRow,
  HoldingWrite,
  LeaseState,
} from '../../../src/index.js';
import { HolderLease, NO_NOTES, StoreClock } from '../../../src/index.js';

export const LEASE_MS = 3000;
/** Time that passes in one step of the exploration. */
const TIME_STEP_MS = 1500;

/** A write that was sent and may be done now, later or never. */
interface SentWrite {
  readonly agent: number;
  readonly write: HoldingWrite;
  readonly sentMs: number;
  /** Whether its sender still waits for the answer. */
  readonly isAwaited: boolean;
}

interface SystemState {
  readonly nowMs: number;
  readonly row: HoldingRow;
  readonly agents: readonly LeaseState[];
  readonly sent: readonly SentWrite[];
  readonly acts: readonly DutyAct[];
}

/** What an exploration has seen. */
export interface ExplorationResult {
  readonly states: number;
  /** The first fault with the way there; null where there is none. */
  readonly fault: {
    readonly what: string;
    readonly acts: readonly DutyAct[];
  } | null;
}

/** Makes the lease of one agent, which a test may replace by a faulty one. */
export type LeaseFactory = (
  options: ConstructorParameters<typeof HolderLease>[0],
  state: LeaseState | undefined,
) => HolderLease;

const createLease: LeaseFactory = (options, state) =>
  new HolderLease(options, state);

function holderOf(agent: number): HolderId {
  return brand<HolderId>(`entry-${agent}`);
}

function leaseAt(
  { nowMs, agents }: SystemState,
  agent: number,
  create: LeaseFactory,
): HolderLease {
  const clock = (): number => nowMs;
  const storeClock = new StoreClock(clock);
  storeClock.read(nowMs, nowMs);
  const options = {
    holder: holderOf(agent),
    instance: brand<InstanceId>(`entry-${agent}`),
    leaseMs: LEASE_MS,
    clock,
    storeClock,
  };
  return create(options, agents[agent]);
}

function withAgent(
  world: SystemState,
  agent: number,
  lease: HolderLease,
): SystemState {
  return { ...world, agents: world.agents.with(agent, lease.state) };
}

/** A look that is always due, since others may have heard of nothing. */
const FACTS = { rank: () => 0, news: null, notes: NO_NOTES, givesUp: false };

function step(
  world: SystemState,
  agent: number,
  create: LeaseFactory,
): SystemState {
  const lease = leaseAt(world, agent, create);
  const next = lease.next(FACTS);
  switch (next.kind) {
    case 'idle':
      return withAgent(world, agent, lease);
    case 'read':
      lease.onRead(world.row, world.nowMs);
      return withAgent(world, agent, lease);
    case 'write': {
      const sent = {
        agent,
        write: next.write,
        sentMs: world.nowMs,
        isAwaited: true,
      };
      return {
        ...withAgent(world, agent, lease),
        sent: [...world.sent, sent],
      };
    }
  }
}

function act(
  world: SystemState,
  agent: number,
  create: LeaseFactory,
): SystemState[] {
  const { token } = leaseAt(world, agent, create);
  return token === null
    ? []
    : [
        {
          ...world,
          acts: [
            ...world.acts,
            { holder: holderOf(agent), token, atMs: world.nowMs },
          ],
        },
      ];
}

/** The store carries a write out, if its condition still holds. */
function applyWrite(
  world: SystemState,
  place: number,
  create: LeaseFactory,
): SystemState {
  const write = world.sent[place];
  if (!write) {
    return world;
  }
  const isDone = write.write.expectedVersion === world.row.version;
  const version = world.row.version + 1;
  const after: SystemState = {
    ...world,
    row: isDone ? { version, holding: write.write.holding } : world.row,
    sent: world.sent.filter(other => other !== write),
  };
  if (!write.isAwaited) {
    return after;
  }
  const lease = leaseAt(after, write.agent, create);
  if (isDone) {
    lease.onWritten(write.write, version, write.sentMs);
  } else {
    lease.onUnanswered();
  }
  return withAgent(after, write.agent, lease);
}

function timeOutWrite(
  world: SystemState,
  place: number,
  create: LeaseFactory,
): SystemState {
  const write = world.sent[place];
  if (!write) {
    return world;
  }
  const lease = leaseAt(world, write.agent, create);
  lease.onUnanswered();
  const late = { ...write, isAwaited: false };
  return {
    ...withAgent(world, write.agent, lease),
    sent: world.sent.with(place, late),
  };
}

/** The process starts anew on the same machine; it waits for no answer any more. */
function restart(
  world: SystemState,
  agent: number,
  create: LeaseFactory,
): SystemState {
  const fresh = leaseAt({ ...world, agents: [] }, agent, create);
  return {
    ...withAgent(world, agent, fresh),
    sent: world.sent.map(write =>
      write.agent === agent ? { ...write, isAwaited: false } : write,
    ),
  };
}

function successors(
  world: SystemState,
  create: LeaseFactory,
): readonly SystemState[] {
  const ofAgents = world.agents.flatMap((_, agent) => {
    const isWaiting = world.sent.some(
      write => write.agent === agent && write.isAwaited,
    );
    return [
      ...(isWaiting ? [] : [step(world, agent, create)]),
      ...act(world, agent, create),
      restart(world, agent, create),
    ];
  });
  const ofWrites = world.sent.flatMap(({ isAwaited }, place) => [
    applyWrite(world, place, create),
    ...(isAwaited ? [timeOutWrite(world, place, create)] : []),
  ]);
  return [
    ...ofAgents,
    ...ofWrites,
    { ...world, nowMs: world.nowMs + TIME_STEP_MS },
  ];
}

/** The same for worlds that differ in nothing that matters later. */
function keyOf({ nowMs, row, agents, sent, acts }: SystemState): string {
  const recent = acts.filter(({ atMs }) => nowMs - atMs <= LEASE_MS);
  return JSON.stringify([nowMs, row, agents, sent, recent, acts.at(-1)]);
}

/**
 * Explores every order in which agents compete for the holding, up to a depth.
 *
 * Writes are carried out at once, after their sender gave up waiting, or never; time
 * passes and processes start anew at any point.
 *
 * @param agents - that compete
 * @param depth - steps from the start
 * @param create - makes their leases
 */
export function exploreLease(
  agents: number,
  depth: number,
  create: LeaseFactory = createLease,
): ExplorationResult {
  const empty: SystemState = {
    nowMs: 10_000,
    row: { version: 0, holding: null },
    agents: [],
    sent: [],
    acts: [],
  };
  const states = Array.from({ length: agents }, (_, agent) => ({
    ...leaseAt(empty, agent, create).state,
    startedMs: 0,
  }));
  const seen = new Set<string>();
  let frontier: readonly SystemState[] = [{ ...empty, agents: states }];
  for (let at = 0; at < depth; at += 1) {
    const next = frontier
      .flatMap(world => successors(world, create))
      .filter(world => {
        const key = keyOf(world);
        const isNew = !seen.has(key);
        seen.add(key);
        return isNew;
      });
    const broken = next.find(({ acts }) => faultOf(acts, LEASE_MS) !== null);
    if (broken) {
      const what = faultOf(broken.acts, LEASE_MS) ?? '';
      return { states: seen.size, fault: { what, acts: broken.acts } };
    }
    frontier = next;
  }
  return { states: seen.size, fault: null };
}
