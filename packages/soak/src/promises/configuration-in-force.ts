import type { Evidence, SentRequest } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { SoakInvariant, Violation } from './SoakInvariant.js';

const HTTP_NOT_FOUND = 404;

/** Returns the probes answered with 404 although their route had not been removed. */
function unknownProbes({
  sent,
  answers,
  configurationWrites,
}: Evidence): readonly SentRequest[] {
  const byVersion = new Map(
    configurationWrites.map(write => [write.version, write]),
  );
  return sent.filter(({ id, version, sentMs, timeLimitMs }) => {
    const configuration = byVersion.get(version ?? -1);
    return (
      configuration !== undefined &&
      answers.get(id)?.status === HTTP_NOT_FOUND &&
      sentMs + timeLimitMs < configuration.routeRemovedMs
    );
  });
}

/** Finds probes refused after the configuration should have been in force. */
function lateProbes(
  evidence: Evidence,
  index: EvidenceIndex,
): readonly Violation[] {
  const { configurationWrites, bounds } = evidence;
  return unknownProbes(evidence).flatMap(({ id, version, sentMs, gateway }) => {
    const ackedMs =
      configurationWrites.find(write => write.version === version)?.ackedMs ??
      Infinity;
    const lateMs = sentMs - ackedMs;
    const isLate =
      lateMs > bounds.configurationPropagationMs + bounds.slackMs &&
      index.isGatewayFaultFree(gateway, ackedMs, sentMs);
    return isLate
      ? [
          {
            request: id,
            what: `configuration ${version ?? ''} not in force at gateway ${gateway} after ${Math.round(lateMs)} ms`,
          },
        ]
      : [];
  });
}

/** Finds probes refused by a process that had already served the same or a later version. */
function revertedProbes(evidence: Evidence): readonly Violation[] {
  const { sent, answers } = evidence;
  return unknownProbes(evidence).flatMap(probe => {
    const earlier = sent.find(
      other =>
        other.version !== null &&
        other.version >= (probe.version ?? Infinity) &&
        other.gateway === probe.gateway &&
        other.incarnation === probe.incarnation &&
        answers.get(other.id)?.status === 200 &&
        (answers.get(other.id)?.endedMs ?? Infinity) < probe.sentMs,
    );
    return earlier
      ? [
          {
            request: probe.id,
            what: `configuration ${probe.version ?? ''} no longer in force after ${earlier.id} was served`,
          },
        ]
      : [];
  });
}

/** A configuration takes effect within a bounded time and stays in force. */
export const configurationInForce: SoakInvariant = {
  name: 'configuration-in-force',
  description:
    'An acknowledged configuration is in force in time at every gateway without faults, and no process reverts to an earlier one.',
  timed: true,
  check: (evidence, index) => [
    ...lateProbes(evidence, index),
    ...revertedProbes(evidence),
  ],
};
