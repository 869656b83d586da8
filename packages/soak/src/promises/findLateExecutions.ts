import type { Evidence, ReceivedNote } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';

/** How many crashes make requests known, and how many executions may follow. */
export interface CrashBound {
  readonly maxCrashes: number;
  readonly maxLateExecutions: number;
}

/** @returns executions that satisfy a predicate on the request's body, in order of time */
export function executionsWith(
  { notes }: Evidence,
  matches: (body: string) => boolean,
): readonly ReceivedNote[] {
  return notes
    .filter(note => note.type === 'got')
    .filter(({ ran, body }) => ran && matches(body))
    .sort((a, b) => a.atMs - b.atMs);
}

/**
 * Finds executions of crashing requests that the gateways should have prevented.
 *
 * @param evidence - what the soak observed
 * @param index - index of the evidence
 * @param executions - executions that crash their replica, in order of time
 * @param bound - what is allowed
 * @returns the executions after the gateways should know of the crashes; none if they are
 *   within the bound
 */
export function findLateExecutions(
  { bounds }: Evidence,
  index: EvidenceIndex,
  executions: readonly ReceivedNote[],
  { maxCrashes, maxLateExecutions }: CrashBound,
): readonly ReceivedNote[] {
  const firsts = executions.filter(
    ({ replica }, position) =>
      executions.findIndex(other => other.replica === replica) === position,
  );
  const lastAllowedMs = firsts[maxCrashes - 1]?.endsMs ?? Infinity;
  const fromMs = lastAllowedMs + bounds.faultFreeMs + bounds.slackMs;
  const late = executions.filter(({ id, atMs }) => {
    const gateway = index.sent(id)?.gateway;
    return (
      atMs > fromMs &&
      gateway !== undefined &&
      index.isGatewayFaultFree(gateway, atMs, atMs)
    );
  });
  return late.length > maxLateExecutions ? late : [];
}
