import { describe } from '@jujubecroft/testing';

import type { VirtualAnswer } from '../helpers/VirtualCallers.js';
import { VirtualCallers } from '../helpers/VirtualCallers.js';
import {
  createConfiguration,
  createReplica,
  STREAM_ROUTE,
} from '../helpers/virtualDeployment.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';
import type { StreamPace, VirtualRun } from '../helpers/VirtualReplicas.js';
import { VirtualReplicas, wholeStream } from '../helpers/VirtualReplicas.js';
import { plainDialect } from '../helpers/plainDialect.js';
import { VirtualTime } from '../helpers/VirtualTime.js';
import { useVirtualTimers } from '../helpers/useVirtualTimers.js';

const PACE: StreamPace = { events: 10, gapMs: 200, slots: Infinity };
/** Fewer than replicas get when others are silent. */
const FEW_SLOTS = 22;
const SECOND_SILENCE_AFTER_MS = 400;
const REQUEST_INTERVAL_MS = 100;
const LOAD_MS = 3000;
const SILENT_AFTER_MS = 1500;
const SILENCE_MS = 1000;
/** Time after the load in which all streams end. */
const END_MS = 5000;
const RETRY_RATIO = 0.2;
const EXTRA_RETRIES = 50;
const MAX_PRINTED = 5;
/** Longest time for which two replicas may run the same request. */
const MAX_SHARED_MS = 400;

interface Outcome {
  readonly sent: number;
  /** Number of answers that are the whole stream. */
  readonly whole: number;
  /** The other answers to requests that a replica ran. */
  readonly broken: readonly string[];
  readonly retries: number;
  /** Longest time for which two replicas ran the same request. */
  readonly longestSharedMs: number;
}

function longestSharedMs(runs: readonly VirtualRun[]): number {
  const last = new Map<string, VirtualRun>();
  return runs.reduce((longest, run) => {
    const before = last.get(run.id);
    last.set(run.id, run);
    const sharedMs = before ? Math.min(before.toMs, run.toMs) - run.fromMs : 0;
    return Math.max(longest, sharedMs);
  }, 0);
}

/**
 * Lets replicas fall silent for a second while instances pass on streams. If replicas have
 * few slots, the others fall silent as well a little later.
 */
async function runStreams(
  fleetSize: number,
  silentReplicas: number,
  pace = PACE,
): Promise<Outcome> {
  const options = {
    instances: fleetSize,
    replicas: 0,
    freshWithinMs: 2000,
    loss: 0,
    meanStallMs: 0,
    meanStallIntervalMs: 0,
    seed: 7,
  };
  const time = new VirtualTime();
  const replicas = new VirtualReplicas(time, pace);
  const forwarding = { dialect: plainDialect, connect: replicas.connect };
  const fleet = new VirtualFleet({ ...options, forwarding }, time);
  const restore = useVirtualTimers(time);
  try {
    const names = Array.from({ length: fleetSize }, (_, at) => `s-${at}`);
    names.forEach(name => {
      replicas.start(name);
      fleet.store.put({ ...createReplica(name), address: `${name}:80` });
    });
    fleet.store.configure({
      ...createConfiguration(2, 1),
      routes: [{ ...STREAM_ROUTE, maxAttempts: 2, gapTargetMs: 200 }],
    });
    await fleet.start();
    const callers = new VirtualCallers(time);
    fleet.instances.forEach(({ context }) => {
      callers.sendTo(
        context,
        `${STREAM_ROUTE.prefix}x`,
        REQUEST_INTERVAL_MS,
        LOAD_MS,
      );
    });
    await time.run(SILENT_AFTER_MS);
    names.slice(0, silentReplicas).forEach(name => {
      replicas.silence(name, SILENCE_MS);
    });
    if (pace.slots < Infinity) {
      await time.run(SECOND_SILENCE_AFTER_MS);
      names.slice(silentReplicas).forEach(name => {
        replicas.silence(name, SILENCE_MS);
      });
    }
    await time.run(LOAD_MS - SILENT_AFTER_MS + END_MS);
    const ran = new Set(replicas.runs.map(({ id }) => id));
    const stream = wholeStream(pace);
    const isWhole = ({ whole, body }: VirtualAnswer): boolean =>
      whole && body === stream;
    return {
      sent: callers.sent,
      whole: callers.answers.filter(isWhole).length,
      broken: callers.answers
        .filter(answer => !isWhole(answer) && ran.has(answer.id))
        .map(
          ({ id, status, body }) =>
            `${id}: status ${status ?? 'none'}, ${body.length} characters`,
        ),
      retries: replicas.arrivals - callers.sent,
      longestSharedMs: longestSharedMs(replicas.runs),
    };
  } finally {
    restore();
  }
}

describe('replicas that fall silent for a second', ({ itAlone }) => {
  // When an instance gives up more answers of a silent replica than other replicas may
  // take over, callers lose streams that the replica would have completed.
  [6, 60].forEach(fleetSize => {
    [1, fleetSize / 2, fleetSize].forEach(silent => {
      itAlone(
        `lose no stream with ${fleetSize} instances and replicas, ${silent} silent`,
        async t => {
          const outcome = await runStreams(fleetSize, silent);
          const { sent, whole, broken, retries } = outcome;
          t.log({ sent, whole, retries, sharedMs: outcome.longestSharedMs });
          t.is(sent, (fleetSize * LOAD_MS) / REQUEST_INTERVAL_MS);
          t.deepEqual(broken.slice(0, MAX_PRINTED), []);
          t.is(whole, sent);
          t.true(retries <= RETRY_RATIO * sent + EXTRA_RETRIES);
          t.true(outcome.longestSharedMs <= MAX_SHARED_MS);
        },
      );
    });
  });

  // An attempt must not be given up for one at a replica that rejects it later.
  itAlone(
    'lose no stream if the replicas that take over reject it',
    async t => {
      const pace = { ...PACE, slots: FEW_SLOTS };
      const { sent, whole, broken, retries } = await runStreams(6, 3, pace);
      t.log({ sent, whole, broken: broken.length, retries });
      t.deepEqual(broken.slice(0, MAX_PRINTED), []);
    },
  );
});
