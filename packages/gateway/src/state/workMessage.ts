import type { WorkReport } from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import type { OrganisationId, ServiceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

/** Message fields of the work by organisation. */
type WorkFields = Pick<proto.GatewayState, 'work' | 'workAsOfMs'>;

/** Largest time on the wire; any longer one means the same. */
const MAX_AGE_MS = 60_000;

/** Fields of a message without work. */
export const NO_WORK_FIELDS: WorkFields = { work: [], workAsOfMs: 0 };

/**
 * Converts the work at this instance to message fields.
 *
 * @param report - the work; null where capacity is not divided
 * @returns the fields
 */
export function toWorkFields(report: WorkReport | null): WorkFields {
  if (!report || report.groups.length === 0) {
    return NO_WORK_FIELDS;
  }
  return {
    workAsOfMs: report.asOfMs,
    work: report.groups.map(group => ({
      service: group.service,
      priority: group.priority,
      onTimePerS: group.onTimePerS,
      shortAgeMs: Math.round(Math.min(MAX_AGE_MS, group.shortAgeMs)),
      organisations: group.organisations.map(entry => entry.organisation),
      workPerS: group.organisations.map(entry => entry.workPerS),
    })),
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
