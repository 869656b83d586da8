import type { Evidence, ReceivedNote } from '../evidence.js';
import { workOf } from '../workOf.js';
import type { SoakInvariant } from './SoakInvariant.js';

const MAX_CRASHES = 5;
/** Maximum number of executions once the gateways should know of the crashes. */
const MAX_LATE_EXECUTIONS = 3;
/** Number of other requests from which the share of refused ones is compared. */
const MIN_OTHERS = 20;
const REFUSAL = 'crashesBackends';

function crashesByPart(body: string): boolean {
  const { crashes, parts = [] } = workOf(body);
  return crashes === true && parts.length > 0;
}

/** Executions of requests with the crashing part, in order of time. */
function crashingExecutions({ notes }: Evidence): readonly ReceivedNote[] {
  return notes
    .filter(note => note.type === 'got')
    .filter(({ ran, body }) => ran && crashesByPart(body))
    .sort((a, b) => a.atMs - b.atMs);
}

/** Time of the fifth crash by the part; infinite if there were fewer. */
function fifthCrashMs(executions: readonly ReceivedNote[]): number {
  const firsts = executions.filter(
    ({ replica }, position) =>
      executions.findIndex(other => other.replica === replica) === position,
  );
  return firsts[MAX_CRASHES - 1]?.endsMs ?? Infinity;
}

/** Requests with a prompt part that has crashed five replicas are no longer forwarded. */
export const crashingParts: SoakInvariant = {
  name: 'crashing-parts',
  description:
    'Requests with a prompt part that has crashed five replicas are executed at most three more times once the gateways have had time to learn of it.',
  timed: true,
  check: (evidence, index) => {
    const { bounds } = evidence;
    const executions = crashingExecutions(evidence);
    const fromMs =
      fifthCrashMs(executions) + bounds.faultFreeMs + bounds.slackMs;
    const late = executions.filter(({ id, atMs }) => {
      const gateway = index.sent(id)?.gateway;
      return (
        atMs > fromMs &&
        gateway !== undefined &&
        index.isGatewayFaultFree(gateway, atMs, atMs)
      );
    });
    return late.length > MAX_LATE_EXECUTIONS
      ? late.map(({ id, replica }) => ({
          request: id,
          what: `executed at ${replica} after five crashes by a part of its prompt`,
        }))
      : [];
  },
};

/** Requests that share all other parts with crashing ones go on being served. */
export const soundParts: SoakInvariant = {
  name: 'sound-parts',
  description:
    'Of the requests that share other prompt parts with those that crash replicas, less than half are refused for it.',
  timed: true,
  check: (evidence, index) => {
    const { bounds, sent, answers } = evidence;
    const [first] = crashingExecutions(evidence);
    if (!first) {
      return [];
    }
    const fromMs = first.endsMs + 2 * bounds.faultFreeMs;
    const others = sent.filter(
      ({ sentMs, body, gateway }) =>
        sentMs > fromMs &&
        (workOf(body).parts ?? []).length > 0 &&
        !crashesByPart(body) &&
        index.isGatewayFaultFree(gateway, sentMs, sentMs),
    );
    const refused = others.filter(
      ({ id }) => answers.get(id)?.body.includes(REFUSAL) === true,
    );
    return others.length >= MIN_OTHERS && 2 * refused.length >= others.length
      ? refused.map(({ id }) => ({
          request: id,
          what: 'refused for crashes that its prompt did not cause',
        }))
      : [];
  },
};
