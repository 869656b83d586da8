import { workOf } from '../workOf.js';
import type { SoakInvariant } from './SoakInvariant.js';

const MAX_CRASHES = 3;
/** Maximum number of executions once the gateways should know of the crashes. */
const MAX_LATE_EXECUTIONS = 3;

function hasParts(body: string): boolean {
  return (workOf(body).parts ?? []).length > 0;
}

/** A request that has crashed three replicas is no longer forwarded. */
export const crashingRequests: SoakInvariant = {
  name: 'crashing-requests',
  description:
    'A request that has crashed three replicas is executed at most three more times once the gateways have had time to learn of it.',
  timed: true,
  check: ({ notes, bounds }, index) => {
    const executions = notes
      .filter(note => note.type === 'got')
      .filter(({ ran, body }) => ran && workOf(body).crashes === true)
      .filter(({ body }) => !hasParts(body))
      .sort((a, b) => a.atMs - b.atMs);
    const firsts = executions.filter(
      ({ replica }, position) =>
        executions.findIndex(other => other.replica === replica) === position,
    );
    const third = firsts[MAX_CRASHES - 1];
    if (!third) {
      return [];
    }
    const fromMs = third.endsMs + bounds.faultFreeMs + bounds.slackMs;
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
          what: `executed at ${replica} after three crashes`,
        }))
      : [];
  },
};
