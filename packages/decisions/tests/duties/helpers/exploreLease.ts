import type { InstanceId } from '@jujubecroft/types';
import { brand, toStoreVersion, versionInEra } from '@jujubecroft/types';
import type { HolderCall } from '@jujubecroft/testing';
import { findLeaseViolation } from '@jujubecroft/testing';

import type {
  HolderId,
  Holding,
  HoldingRow,
  HoldingWrite,
  LeaseState,
} from '../../../src/index.js';
import { HolderLease, NO_NOTES, StoreClock } from '../../../src/index.js';

export const LEASE_MS = 3000;
/** Time that passes in one step of the exploration. */
const TIME_STEP_MS = 1500;

/** A write that was sent and may be applied now, later or never. */
interface SentWrite {
  readonly agent: number;
  readonly write: HoldingWrite;
  readonly sentMs: number;
  /** Whether the sender is still waiting for the answer. */
  readonly isAwaited: boolean;
}

/** A stored row; its version is the one within its era. */
interface StoredRow {
  readonly version: number;
  readonly holding: Holding;
}

/** Rows by the era that they were written for. */
type StoredRows = readonly (StoredRow | undefined)[];

/** State of the explored system: time, stored rows, agents, and writes in transit. */
interface SystemState {
  readonly nowMs: number;
  readonly rows: StoredRows;
  readonly era: number;
  /** Number of times that the store may still be restored. */
  readonly restoresLeft: number;
  /** Content that the store may be restored to. */
  readonly copy: StoredRows;
  readonly agents: readonly LeaseState[];
  readonly sent: readonly SentWrite[];
  /** Calls that agents have made as the holder. */
  readonly holderCalls: readonly HolderCall[];
}

/** Result of an exploration. */
export interface ExplorationResult {
  /** Number of distinct states. */
  readonly states: number;
  /** The first fault with the calls that led to it; null if there is none. */
  readonly fault: {
    readonly what: string;
    readonly holderCalls: readonly HolderCall[];
  } | null;
}

/** Creates the lease of an agent; tests pass factories of faulty leases. */
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

/** The row of the current era, as an agent reads it. */
function rowOf({ rows, era }: SystemState): HoldingRow {
  const own = rows[era];
  const earlier = rows.slice(0, era).findLast(row => row !== undefined);
  return {
    era,
    version: own ? toStoreVersion(era, own.version) : 0,
    holding: own?.holding ?? null,
    earlier: own ? null : (earlier?.holding ?? null),
  };
}

function withAgent(
  state: SystemState,
  agent: number,
  lease: HolderLease,
): SystemState {
  return { ...state, agents: state.agents.with(agent, lease.state) };
}

/** Inputs with which a read is always due, as for an agent that knows of no holding. */
const INPUTS = {
  rank: () => 0,
  latestHolding: null,
  notes: NO_NOTES,
  mustRelease: false,
};

/** The agent performs the next step of its lease. */
function step(
  state: SystemState,
  agent: number,
  create: LeaseFactory,
): SystemState {
  const lease = leaseAt(state, agent, create);
  const next = lease.next(INPUTS);
  switch (next.kind) {
    case 'idle':
      return withAgent(state, agent, lease);
    case 'read':
      lease.onRead(rowOf(state), state.nowMs);
      return withAgent(state, agent, lease);
    case 'write': {
      const sent = {
        agent,
        write: next.write,
        sentMs: state.nowMs,
        isAwaited: true,
      };
      return {
        ...withAgent(state, agent, lease),
        sent: [...state.sent, sent],
      };
    }
  }
}

/** The agent makes a call if it is the holder. */
function makeCall(
  state: SystemState,
  agent: number,
  create: LeaseFactory,
): SystemState[] {
  const { token } = leaseAt(state, agent, create);
  return token === null
    ? []
    : [
        {
          ...state,
          holderCalls: [
            ...state.holderCalls,
            { holder: holderOf(agent), token, atMs: state.nowMs },
          ],
        },
      ];
}

/** The store receives a write and applies it if its condition holds. */
function applyWrite(
  state: SystemState,
  index: number,
  create: LeaseFactory,
): SystemState {
  const write = state.sent[index];
  if (!write) {
    return state;
  }
  const { era, expectedVersion, holding } = write.write;
  const before = state.rows[era]?.version ?? 0;
  const isDone = versionInEra(expectedVersion) === before;
  const rows = [...state.rows];
  rows[era] = { version: before + 1, holding };
  const after: SystemState = {
    ...state,
    rows: isDone ? rows : state.rows,
    sent: state.sent.filter(other => other !== write),
  };
  if (!write.isAwaited) {
    return after;
  }
  const lease = leaseAt(after, write.agent, create);
  if (isDone) {
    const version = toStoreVersion(state.era, before + 1);
    lease.onWritten(write.write, version, write.sentMs);
  } else {
    lease.onOutcomeUnknown();
  }
  return withAgent(after, write.agent, lease);
}

/** The sender of a write stops waiting for the answer. */
function timeOutWrite(
  state: SystemState,
  index: number,
  create: LeaseFactory,
): SystemState {
  const write = state.sent[index];
  if (!write) {
    return state;
  }
  const lease = leaseAt(state, write.agent, create);
  lease.onOutcomeUnknown();
  const timedOut = { ...write, isAwaited: false };
  return {
    ...withAgent(state, write.agent, lease),
    sent: state.sent.with(index, timedOut),
  };
}

/** The process restarts on the same machine and no longer waits for answers. */
function restart(
  state: SystemState,
  agent: number,
  create: LeaseFactory,
): SystemState {
  const fresh = leaseAt({ ...state, agents: [] }, agent, create);
  return {
    ...withAgent(state, agent, fresh),
    sent: state.sent.map(write =>
      write.agent === agent ? { ...write, isAwaited: false } : write,
    ),
  };
}

/** The store is copied, or restored from the copy. */
function copyOrRestore(state: SystemState): readonly SystemState[] {
  const { restoresLeft, era, rows, copy } = state;
  return restoresLeft === 0
    ? []
    : [
        { ...state, copy: rows },
        { ...state, rows: copy, era: era + 1, restoresLeft: restoresLeft - 1 },
      ];
}

/** All states that are reachable in one step. */
function successors(
  state: SystemState,
  create: LeaseFactory,
): readonly SystemState[] {
  const ofAgents = state.agents.flatMap((_, agent) => {
    const isWaiting = state.sent.some(
      write => write.agent === agent && write.isAwaited,
    );
    return [
      ...(isWaiting ? [] : [step(state, agent, create)]),
      ...makeCall(state, agent, create),
      restart(state, agent, create),
    ];
  });
  const ofWrites = state.sent.flatMap(({ isAwaited }, index) => [
    applyWrite(state, index, create),
    ...(isAwaited ? [timeOutWrite(state, index, create)] : []),
  ]);
  return [
    ...ofAgents,
    ...ofWrites,
    ...copyOrRestore(state),
    { ...state, nowMs: state.nowMs + TIME_STEP_MS },
  ];
}

/** Key that is equal for states with the same possible futures. */
function keyOf({ holderCalls, ...state }: SystemState): string {
  const recent = holderCalls.filter(
    ({ atMs }) => state.nowMs - atMs <= LEASE_MS,
  );
  return JSON.stringify([state, recent, holderCalls.at(-1)]);
}

/**
 * Explores all interleavings of agents that compete for the holding, up to a depth.
 *
 * A write is applied while its sender waits, after the sender has timed out, or never.
 * Time passes and processes restart at any point, and the store is copied and restored.
 *
 * @param agents - number of competing agents
 * @param depth - maximum number of steps
 * @param create - creates the lease of an agent
 * @param restores - number of times that the store may be restored
 * @returns number of states, and the first fault
 */
export function exploreLease(
  agents: number,
  depth: number,
  create: LeaseFactory = createLease,
  restores = 0,
): ExplorationResult {
  const empty: SystemState = {
    nowMs: 10_000,
    rows: [],
    era: 0,
    restoresLeft: restores,
    copy: [],
    agents: [],
    sent: [],
    holderCalls: [],
  };
  const states = Array.from({ length: agents }, (_, agent) => ({
    ...leaseAt(empty, agent, create).state,
    startedMs: 0,
  }));
  const seen = new Set<string>();
  let frontier: readonly SystemState[] = [{ ...empty, agents: states }];
  for (let at = 0; at < depth; at += 1) {
    const next = frontier
      .flatMap(state => successors(state, create))
      .filter(state => {
        const key = keyOf(state);
        const isNew = !seen.has(key);
        seen.add(key);
        return isNew;
      });
    const broken = next.find(
      ({ holderCalls }) => findLeaseViolation(holderCalls, LEASE_MS) !== null,
    );
    if (broken) {
      const what = findLeaseViolation(broken.holderCalls, LEASE_MS) ?? '';
      return {
        states: seen.size,
        fault: { what, holderCalls: broken.holderCalls },
      };
    }
    frontier = next;
  }
  return { states: seen.size, fault: null };
}
