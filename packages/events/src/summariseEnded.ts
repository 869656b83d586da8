import { groupBy } from '@jujubecroft/types';

import type { ParsedLine } from './readLogLines.js';
import { textOf } from './requestLines.js';

/** Answers that an instance ended for one reason, beside changes of the configuration and apart from them. */
export interface EndedSummary {
  /** Event of the log lines. */
  readonly event: string;
  readonly reason: string;
  /** Lines within two seconds after an instance applied a configuration. */
  readonly besideChanges: number;
  /** The same for each minute of such time of an instance; 0 if there was none. */
  readonly besidePerMinute: number;
  /** Lines at any other time. */
  readonly otherwise: number;
  /** The same for each minute of other time of an instance; 0 if there was none. */
  readonly otherwisePerMinute: number;
}

/** Time after a configuration is applied that counts as beside the change, in milliseconds. */
const BESIDE_MS = 2000;
const MS_PER_MINUTE = 60_000;

/** The field that states the reason, by event. */
const REASON_FIELDS: ReadonlyMap<string, string> = new Map([
  ['attemptWithdrawn', 'reason'],
  ['requestCut', 'code'],
  ['responseIncomplete', 'reason'],
]);
/** Reasons that lie with the caller or its connection. */
const REASONS_OF_CALLERS: ReadonlySet<string> = new Set([
  'bodyBroken',
  'callerLeft',
  'notBegun',
]);

/** One log line that states an end. */
interface End {
  readonly event: string;
  readonly reason: string;
  readonly isBeside: boolean;
}

/** What the lines of one instance state. */
interface InstanceEnds {
  readonly besideMs: number;
  readonly otherwiseMs: number;
  readonly ends: readonly End[];
}

function toEnd(line: ParsedLine, isBeside: boolean): readonly End[] {
  const field = REASON_FIELDS.get(line.id);
  if (field === undefined) {
    return [];
  }
  const reason = textOf(line, field);
  return REASONS_OF_CALLERS.has(reason)
    ? []
    : [{ event: line.id, reason, isBeside }];
}

function readInstance(lines: readonly ParsedLine[]): InstanceEnds {
  const dated = lines
    .map(line => ({ line, ms: Date.parse(line.time) }))
    .filter(({ ms }) => !Number.isNaN(ms))
    .sort((a, b) => a.ms - b.ms);
  const changesMs = dated
    .filter(({ line }) => line.id === 'configurationInForce')
    .map(({ ms }) => ms);
  const firstMs = dated[0]?.ms ?? 0;
  const lastMs = dated.at(-1)?.ms ?? 0;
  const besideMs = changesMs.reduce((sum, ms, index) => {
    const nextMs = changesMs[index + 1] ?? lastMs;
    return sum + Math.min(BESIDE_MS, nextMs - ms);
  }, 0);
  const isBeside = (ms: number): boolean =>
    changesMs.some(changeMs => ms >= changeMs && ms - changeMs <= BESIDE_MS);
  return {
    besideMs,
    otherwiseMs: lastMs - firstMs - besideMs,
    ends: dated.flatMap(({ line, ms }) => toEnd(line, isBeside(ms))),
  };
}

function perMinute(count: number, ms: number): number {
  return ms > 0 ? (count * MS_PER_MINUTE) / ms : 0;
}

/**
 * Counts the answers that instances ended themselves, by reason, and compares the rate beside
 * changes of the configuration with the rate at other times.
 *
 * A request may count under several events: an attempt that is withdrawn may move to another
 * backend server, and a request that is cut ends a response. The time of an instance reaches
 * from its first log line to its last.
 *
 * @param lines - log lines of any number of instances, in any order
 * @returns the counts by event and reason, in alphabetical order
 */
export function summariseEnded(
  lines: readonly ParsedLine[],
): readonly EndedSummary[] {
  const instances = [
    ...groupBy(lines, ({ instance }) => instance).values(),
  ].map(readInstance);
  const sum = (msOf: (instance: InstanceEnds) => number): number =>
    instances.reduce((total, instance) => total + msOf(instance), 0);
  const besideMs = sum(instance => instance.besideMs);
  const otherwiseMs = sum(instance => instance.otherwiseMs);
  const groups = groupBy(
    instances.flatMap(({ ends }) => ends),
    ({ event, reason }) => `${event} ${reason}`,
  );
  return [...groups]
    .sort(([a], [b]) => a.localeCompare(b))
    .flatMap(([, ends]) => {
      const [first] = ends;
      const besideChanges = ends.filter(({ isBeside }) => isBeside).length;
      const otherwise = ends.length - besideChanges;
      return first
        ? {
            event: first.event,
            reason: first.reason,
            besideChanges,
            besidePerMinute: perMinute(besideChanges, besideMs),
            otherwise,
            otherwisePerMinute: perMinute(otherwise, otherwiseMs),
          }
        : [];
    });
}
