import { PATH_KINDS } from '../faults/faultTargets.js';
import type {
  Evidence,
  ObservedResponse,
  ReceivedNote,
  SentRequest,
} from '../evidence.js';
import { workOf } from '../workOf.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { SoakInvariant } from './SoakInvariant.js';

/** Requests sent later than this after the stop may reach a gateway about to exit. */
const ACCEPTED_AFTER_STOP_MS = 3000;
/** Share of the grace period after which a stopping gateway may cut requests. */
const UNCUT_SHARE = 5 / 6;
/**
 * Faults of replicas in which each answer that the replica begins is sound. Where one of
 * them ends the process, the replica does not note the close of its connections.
 */
const SOUND_KINDS: readonly string[] = [
  'crashing-part',
  'crashing-request',
  'replica-flap',
  'replica-kill',
  'replica-leave-in-answers',
  'replica-limit',
  'replica-requests-pauses',
  'replica-silence',
];

/** Returns the execution that began last. */
function lastOf(executions: readonly ReceivedNote[]): ReceivedNote | undefined {
  return [...executions].sort((a, b) => a.atMs - b.atMs).at(-1);
}

/** Whether a replica's part in the execution of a request was without fault. */
function isSound(
  { id, replica, atMs }: ReceivedNote,
  endedMs: number,
  { bounds }: Evidence,
  index: EvidenceIndex,
): boolean {
  const [, slot] = replica.split('-');
  const faults = index.faultsIn(
    (target, { kind, planned }) =>
      target.component === 'replica' &&
      (target.index === null || target.index === Number(slot)) &&
      !planned &&
      !SOUND_KINDS.includes(kind),
    atMs - bounds.faultFreeMs,
    endedMs,
  );
  return (
    faults.length === 0 &&
    index.closedNotesOf(id).some(closed => closed.replica === replica)
  );
}

/** Whether the gateway of a request was killed, had to stop, or was without paths. */
function isGatewayExcused(
  { gateway, sentMs }: SentRequest,
  endedMs: number,
  { bounds }: Evidence,
  index: EvidenceIndex,
): boolean {
  const faults = index.faultsIn(
    ({ component, index: targetIndex }) =>
      component === 'gateway' &&
      (targetIndex === null || targetIndex === gateway),
    sentMs - bounds.faultFreeMs,
    endedMs,
  );
  return faults.some(({ kind, fromMs, toMs }) => {
    switch (kind) {
      case 'gateway-kill':
      case 'gateways-kill-all':
        return fromMs >= sentMs - bounds.slackMs;
      case 'gateway-stop':
        return (
          toMs >= sentMs &&
          (sentMs > fromMs + ACCEPTED_AFTER_STOP_MS ||
            endedMs >= fromMs + UNCUT_SHARE * bounds.graceMs)
        );
      default:
        return PATH_KINDS.includes(kind);
    }
  });
}

/** Returns how long a request may last: its caller's time limit or that of its route. */
function timeLimitOf(
  { timeLimitMs }: SentRequest,
  endedMs: number,
  { configurationWrites }: Evidence,
): number {
  // A gateway may lag behind, so every earlier configuration may be in force.
  const routeLimits = configurationWrites
    .filter(({ ackedMs }) => ackedMs <= endedMs)
    .map(({ shortestTimeoutMs }) => shortestTimeoutMs);
  return Math.min(timeLimitMs, ...routeLimits);
}

/** Describes how an answer falls short of a replica's complete one; null if it doesn't. */
function lackOf({ status, whole, stamp }: ObservedResponse): string | null {
  if (status === null) {
    return 'got no answer';
  }
  if (!whole) {
    return 'was cut';
  }
  return stamp === null ? `got status ${status} of its gateway` : null;
}

/** How long a replica was silent in a span of time, in milliseconds. */
function silentMs(
  { notes }: Evidence,
  replica: string,
  fromMs: number,
  toMs: number,
): number {
  return notes.reduce(
    (sum, note) =>
      note.type === 'silent' && note.replica === replica
        ? sum +
          Math.max(
            0,
            Math.min(toMs, note.atMs + note.forMs) -
              Math.max(fromMs, note.atMs),
          )
        : sum,
    0,
  );
}

/**
 * A request that a sound replica executes gets the complete answer of a replica.
 *
 * The evidence is that of callers and replicas:
 * - The gateway has read the request whole and passed it on if a replica notes that it runs
 *   it. The replica that did so last is judged.
 * - That replica is sound if it notes the close of the request's connection, so that its
 *   process did not end before, and no fault was injected into it or its link in the
 *   request's time or shortly before, unless it leaves its answers sound, as silences do.
 * - The caller must have ended without a complete response that bears a replica's stamp, by
 *   itself, before its own time limit, the shortest time limit of the routes so far, and
 *   the end of its gateway's grace period.
 * - Requests at gateways that are killed or have no paths to replicas don't count, nor do
 *   those that crash replicas. Pauses of the gateway, faults of the store and of the links
 *   between gateways, restarts and changes excuse nothing.
 */
export const soundAnswers: SoakInvariant = {
  name: 'sound-answers',
  description:
    'A request that a replica without faults other than silences executes gets a complete answer of a replica, unless its caller leaves, a time limit passes or its gateway is killed.',
  timed: false,
  check: (evidence, index) =>
    evidence.sent.flatMap(request => {
      const { id, body, gateway, sentMs } = request;
      const answer = evidence.answers.get(id);
      const execution = lastOf(index.executionsOf(id));
      if (!answer || !execution || answer.leftMs !== null) {
        return [];
      }
      const { endedMs } = answer;
      const lack = lackOf(answer);
      const isJudged =
        lack !== null &&
        workOf(body).crashes !== true &&
        endedMs < sentMs + timeLimitOf(request, endedMs, evidence) &&
        isSound(execution, endedMs, evidence, index) &&
        !isGatewayExcused(request, endedMs, evidence, index);
      if (!isJudged) {
        return [];
      }
      const { replica, atMs } = execution;
      const silence = Math.round(silentMs(evidence, replica, atMs, endedMs));
      return [
        {
          request: id,
          what: `${lack} ${Math.round(endedMs - sentMs)} ms after it was sent to gateway ${gateway}; ${replica} executed it and was silent for ${silence} ms`,
        },
      ];
    }),
};
