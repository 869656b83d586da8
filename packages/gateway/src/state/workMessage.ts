import type { OrganisationWork, WorkReport } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { OrganisationId, ServiceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

/** Message fields of the work by organisation. */
type WorkFields = Pick<proto.GatewayState, 'work' | 'workAsOfMs'>;

/** Largest time on the wire; any longer one means the same. */
const MAX_AGE_MS = 60_000;

/**
 * Number of rates in a message, each of which takes some 22 bytes. The message
 * stays far below the largest datagram with any number of organisations.
 */
const MAX_RATES = 200;

/** The organisations that offer most work, of which a message has room for some. */
function largestOf(
  organisations: readonly OrganisationWork[],
  limit: number,
): readonly OrganisationWork[] {
  return organisations.length <= limit
    ? organisations
    : [...organisations]
        .sort((a, b) => b.workPerS - a.workPerS)
        .slice(0, limit);
}

/** Fields of a message without work. */
export const NO_WORK_FIELDS: WorkFields = { work: [], workAsOfMs: 0 };

/**
 * Converts the work at this instance to message fields: of each group, the
 * organisations that offer most.
 *
 * @param report - the work; null where capacity is not divided
 * @returns the fields
 */
export function toWorkFields(report: WorkReport | null): WorkFields {
  if (!report || report.groups.length === 0) {
    return NO_WORK_FIELDS;
  }
  const groups = report.groups.slice(0, MAX_RATES);
  const limit = Math.floor(MAX_RATES / groups.length);
  return {
    workAsOfMs: report.asOfMs,
    work: groups.map(group => {
      const organisations = largestOf(group.organisations, limit);
      return {
        service: group.service,
        priority: group.priority,
        onTimePerS: group.onTimePerS,
        shortAgeMs: Math.round(Math.min(MAX_AGE_MS, group.shortAgeMs)),
        organisations: organisations.map(entry => entry.organisation),
        workPerS: organisations.map(entry => entry.workPerS),
      };
    }),
  };
}

/**
 * Reads the work of another instance from a message.
 *
 * @param state - the message
 * @returns the report; undefined if the message has none
 */
export function fromWorkFields({
  work,
  workAsOfMs,
}: WorkFields): WorkReport | undefined {
  if (work.length === 0) {
    return undefined;
  }
  return {
    asOfMs: workAsOfMs,
    groups: work.map(({ service, organisations, workPerS, ...group }) => ({
      ...group,
      service: brand<ServiceId>(service),
      organisations: organisations.map((organisation, index) => ({
        organisation: brand<OrganisationId>(organisation),
        workPerS: workPerS[index] ?? 0,
      })),
    })),
  };
}
