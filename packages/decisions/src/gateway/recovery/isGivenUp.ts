import type { BackendLoad, GatewayAttempt } from '../BackendLoad.js';
import type { GatewayBoard } from '../GatewayBoard.js';
import { isUnresponsive } from '../usableCandidates.js';
import { hasRunEnded } from './takeOrphanedAttempts.js';

/**
 * Longest time for which a replica may write nothing and go on, in milliseconds. Pauses of
 * a process or of its network that end by themselves last up to one and a half seconds.
 */
const MAX_SOUND_SILENCE_MS = 1500;

/** Time for which a replica has written nothing to an attempt, or to any, in milliseconds. */
function silenceMs(
  board: GatewayBoard,
  { load, lastByteMs, sentMs }: GatewayAttempt,
): number {
  const firstSentMs = Math.min(
    ...[...load.attempts].map(attempt => attempt.sentMs),
  );
  const sinceMs = Math.min(
    lastByteMs ?? sentMs,
    Math.max(load.lastByteMs, firstSentMs),
  );
  return board.clock() - sinceMs;
}

/**
 * Whether an attempt is given up for another one that has no answer yet: its run has ended,
 * or its replica has been silent for longer than a sound one.
 *
 * @param board - the blackboard
 * @param attempt - the attempt in progress
 * @param inMs - time from now at which this is to hold if the silence goes on, in milliseconds
 */
export function isGivenUp(
  board: GatewayBoard,
  attempt: GatewayAttempt,
  inMs = 0,
): boolean {
  return (
    hasRunEnded(board, attempt) ||
    silenceMs(board, attempt) + inMs >= MAX_SOUND_SILENCE_MS
  );
}

/**
 * Whether a replica that was left for its silence is likely to write again: it has, or a sound
 * one would by now.
 *
 * @param board - the blackboard
 * @param load - load of the replica
 * @param lastByteMs - time of its last byte when it was left
 */
export function mayWriteAgain(
  { clock }: Pick<GatewayBoard, 'clock'>,
  load: Pick<BackendLoad, 'lastByteMs'>,
  lastByteMs: number,
): boolean {
  return (
    load.lastByteMs > lastByteMs || clock() - lastByteMs > MAX_SOUND_SILENCE_MS
  );
}

/** Whether the replica of an attempt writes nothing to any request of this instance. */
export function isSilent(
  board: GatewayBoard,
  { load }: GatewayAttempt,
): boolean {
  return isUnresponsive(board, load);
}
