import type { Evidence, SentRequest } from '../evidence.js';
import type { EvidenceIndex } from './EvidenceIndex.js';
import type { Breach, SoakPromise } from './SoakPromise.js';

const UNKNOWN_ROUTE = 404;

/** Probes that met a gateway which did not know their route though it stood. */
function unknownProbes({
  sent,
  answers,
  configured,
}: Evidence): readonly SentRequest[] {
  const byVersion = new Map(configured.map(each => [each.version, each]));
  return sent.filter(({ id, version, sentMs, timeLimitMs }) => {
    const stands = byVersion.get(version ?? -1);
    return (
      stands !== undefined &&
      answers.get(id)?.status === UNKNOWN_ROUTE &&
      sentMs + timeLimitMs < stands.droppedMs
    );
  });
}

function lateProbes(
  evidence: Evidence,
  index: EvidenceIndex,
): readonly Breach[] {
  const { configured, bounds } = evidence;
  return unknownProbes(evidence).flatMap(({ id, version, sentMs, gateway }) => {
    const ackedMs =
      configured.find(each => each.version === version)?.ackedMs ?? Infinity;
    const lateMs = sentMs - ackedMs;
    const isLate =
      lateMs > bounds.configurationMs + bounds.slackMs &&
      index.isInTouch(gateway, ackedMs, sentMs);
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

/** Probes that a gateway did not know after the same process had known them. */
function revertedProbes(evidence: Evidence): readonly Breach[] {
  const { sent, answers } = evidence;
  return unknownProbes(evidence).flatMap(late => {
    const known = sent.find(
      probe =>
        probe.version !== null &&
        probe.version >= (late.version ?? Infinity) &&
        probe.gateway === late.gateway &&
        probe.incarnation === late.incarnation &&
        answers.get(probe.id)?.status === 200 &&
        (answers.get(probe.id)?.endedMs ?? Infinity) < late.sentMs,
    );
    return known
      ? [
          {
            request: late.id,
            what: `configuration ${late.version ?? ''} is forgotten after ${known.id} saw it`,
          },
        ]
      : [];
  });
}

/** Configurations take effect in time and stay in force. */
export const configurationInForce: SoakPromise = {
  name: 'configuration-in-force',
  description:
    'An acknowledged configuration is in force at every gateway in touch in time, and no process goes back.',
  timed: true,
  check: (evidence, index) => [
    ...lateProbes(evidence, index),
    ...revertedProbes(evidence),
  ],
};
