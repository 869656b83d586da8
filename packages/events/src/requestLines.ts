import { groupBy } from '@jujubecroft/types';

import type { ParsedLine } from './readLogLines.js';

/** The log lines of one request that summaries are made from. */
export interface RequestLines {
  readonly first: ParsedLine;
  /** The first line about an attempt. */
  readonly placed: ParsedLine | undefined;
  readonly answered: ParsedLine | undefined;
  /** The line about an end without a complete answer. */
  readonly end: ParsedLine | undefined;
}

const END_EVENTS: readonly string[] = [
  'callerLeft',
  'requestCut',
  'requestRefused',
];

/** @returns the number in a field of a line; 0 where the field is missing */
export function numberOf(line: ParsedLine | undefined, field: string): number {
  const value = line?.fields[field];
  return typeof value === 'number' ? value : 0;
}

/** @returns the text in a field of a line; empty where the field is missing */
export function textOf(line: ParsedLine | undefined, field: string): string {
  const value = line?.fields[field];
  return typeof value === 'string' ? value : '';
}

function toRequest(lines: readonly ParsedLine[]): RequestLines | null {
  const [first] = lines;
  const find = (id: string): ParsedLine | undefined =>
    lines.find(line => line.id === id);
  const placed = find('requestPlaced');
  const end = lines.find(({ id }) => END_EVENTS.includes(id));
  return first && (placed ?? end)
    ? { first, placed, end, answered: find('requestAnswered') }
    : null;
}

/** @returns the route of a request; empty where no line names it */
export function routeOf({ placed, end }: RequestLines): string {
  return textOf(placed, 'route') || textOf(end, 'route');
}

/**
 * Groups log lines by request.
 *
 * @param lines - log lines of any number of instances
 * @returns the requests whose route is known and that were sent or ended without
 *   an answer
 */
export function requestsOf(
  lines: readonly ParsedLine[],
): readonly RequestLines[] {
  const groups = groupBy(
    lines.filter(line => textOf(line, 'request') !== ''),
    line => textOf(line, 'request'),
  );
  return [...groups.values()]
    .flatMap(group => toRequest(group) ?? [])
    .filter(request => routeOf(request) !== '');
}
