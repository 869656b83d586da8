import { groupBy } from '@jujubecroft/types';

import type { ParsedLine } from './readLogLines.js';
import { numberOf, textOf } from './requestLines.js';

/** Time within which withdrawals at one backend server have one cause, in milliseconds. */
const TOGETHER_MS = 100;

/** What became of a request, by the line about its end. */
const OUTCOMES: Readonly<Record<string, string>> = {
  callerLeft: 'left by their callers',
  requestAnswered: 'answered',
  requestCut: 'cut or failed',
  requestRefused: 'refused',
};
const NO_END = 'without an end in the logs';

/** Why a response ended before it was complete, by the reason that its line states. */
const INCOMPLETE_REASONS: Readonly<Record<string, string>> = {
  bodyBroken: 'its connection ended before the request was read completely',
  callerLeft: 'its caller closed the connection',
  cut: 'this instance cut it',
  error: 'an unexpected error of the instance ended it',
  instanceStopped: 'the instance closed its connections at the end of a stop',
  notBegun: 'its connection ended with an earlier response',
  unknown: 'the instance closed its connection for no reason that is logged',
};

/** Finds what became of each of some requests, in one pass. */
function outcomesOf(
  lines: readonly ParsedLine[],
  requests: ReadonlySet<string>,
): ReadonlyMap<string, string> {
  const outcomes = new Map(
    [...requests].map((request): [string, string] => [request, NO_END]),
  );
  lines.forEach(line => {
    const outcome = OUTCOMES[line.id];
    const request = textOf(line, 'request');
    if (outcome !== undefined && requests.has(request)) {
      outcomes.set(request, outcome);
    }
  });
  return outcomes;
}

/**
 * Describes what became of the other requests that an instance withdrew from the same
 * backend server at the same moment, which shows a common cause.
 *
 * @param withdrawn - line about the withdrawal of one request
 * @param lines - log lines of all instances
 * @returns a clause; empty if no other request was withdrawn
 */
export function describeOthersWithdrawn(
  withdrawn: ParsedLine,
  lines: readonly ParsedLine[],
): string {
  const others = new Set(
    lines
      .filter(
        line =>
          line.id === 'attemptWithdrawn' &&
          line.instance === withdrawn.instance &&
          line.fields.backendServer === withdrawn.fields.backendServer &&
          Math.abs(line.atMs - withdrawn.atMs) <= TOGETHER_MS,
      )
      .map(line => textOf(line, 'request')),
  );
  others.delete(textOf(withdrawn, 'request'));
  if (others.size === 0) {
    return '';
  }
  const groups = groupBy(
    [...outcomesOf(lines, others).values()],
    outcome => outcome,
  );
  const counts = [...groups].map(
    ([outcome, { length }]) => `${length} ${outcome}`,
  );
  return `; ${others.size} others were withdrawn there within ${TOGETHER_MS} ms: ${counts.join(', ')}`;
}

/**
 * Describes why an attempt was withdrawn and what was known at that moment.
 *
 * @param withdrawn - line about the withdrawal
 * @returns a clause
 */
export function describeWithdrawal(withdrawn: ParsedLine): string {
  const { fields } = withdrawn;
  const agoOf = (field: string): string => {
    const age = fields[field];
    return typeof age === 'number' ? `${age} ms ago` : 'never';
  };
  const received =
    fields.started === true
      ? `${numberOf(withdrawn, 'bodyBytes')} bytes of an answer`
      : 'nothing';
  return `the attempt at ${textOf(withdrawn, 'backendServer')} is withdrawn (${textOf(withdrawn, 'reason')}) after ${numberOf(withdrawn, 'runningMs')} ms: last byte of the backend server ${agoOf('silentMs')}, of this answer ${agoOf('attemptSilentMs')}; its caller had received ${received}; ${numberOf(withdrawn, 'inFlight')} attempts there, retries left in the budget: ${numberOf(withdrawn, 'budgetLeft')}, sent ${numberOf(withdrawn, 'sent')} of ${numberOf(withdrawn, 'maxAttempts')} times, ${numberOf(withdrawn, 'leftMs')} ms left; configuration ${numberOf(withdrawn, 'configuration')} in force for ${numberOf(withdrawn, 'configurationAgeMs')} ms`;
}

/**
 * Describes why a connection ended before the response was complete.
 *
 * @param line - line about the incomplete response
 * @returns a clause
 */
export function describeIncomplete(line: ParsedLine): string {
  const reason = textOf(line, 'reason');
  const { status, requestRead } = line.fields;
  const written =
    typeof status === 'number'
      ? `status ${status} and ${numberOf(line, 'bodyBytes')} bytes of its body were written`
      : 'nothing was written';
  const read =
    requestRead === 'whole' ? 'read completely' : 'not read completely';
  const code = textOf(line, 'cutCode');
  return `the response is not complete: ${INCOMPLETE_REASONS[reason] ?? reason}${code && ` (${code})`}; the request was ${read}, ${written}; configuration ${numberOf(line, 'configuration')} in force for ${numberOf(line, 'configurationAgeMs')} ms`;
}
