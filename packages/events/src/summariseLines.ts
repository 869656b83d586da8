import { quantileSorted } from 'simple-statistics';
import { groupBy } from '@jujubecroft/types';

import type { ParsedLine } from './readLogLines.js';
import type { RequestLines } from './requestLines.js';
import { numberOf, requestsOf, routeOf, textOf } from './requestLines.js';
import type { EndedSummary } from './summariseEnded.js';
import { summariseEnded } from './summariseEnded.js';
import type { SizeSummary } from './summariseSizes.js';
import { summariseSizes } from './summariseSizes.js';

/** Outcomes of the requests of one route whose first log line lies in one time window. */
export interface WindowSummary {
  readonly route: string;
  /** Start of the window, in seconds since the first log line. */
  readonly fromS: number;
  /** Requests that were sent to a backend server. */
  readonly placed: number;
  readonly refused: number;
  /** Requests sent at a rank below those that can still meet their target. */
  readonly deferred: number;
  readonly answered: number;
  /** Requests whose first event came later than its target. */
  readonly lateFirst: number;
  /** Requests whose first event came in time, but a later pause exceeded its target. */
  readonly latePauses: number;
  /** Requests that ended without a complete answer after they were sent. */
  readonly cut: number;
  /** Requests whose caller closed the connection before the answer ended. */
  readonly left: number;
  /** Median of the predicted time to the first event, in milliseconds. */
  readonly predictedMs: number;
  /** Median of the actual time to the first event, in milliseconds. */
  readonly firstMs: number;
  /** Median of the ratio of the actual to the predicted time to the first event. */
  readonly predictionRatioP50: number;
  /** 90th percentile of the same ratio. */
  readonly predictionRatioP90: number;
  /** Share of the prompt tokens that the server was not expected to read: cached or copied ones. */
  readonly cachedShare: number;
}

/** Load that one backend server received. */
export interface ServerSummary {
  readonly backendServer: string;
  /** Attempts that were sent to the server. */
  readonly placed: number;
  /** Prompt tokens of these attempts that the server was expected to read. */
  readonly unreadTokens: number;
}

/** Summary of the log lines of any number of instances. */
export interface LogSummary {
  readonly windows: readonly WindowSummary[];
  readonly servers: readonly ServerSummary[];
  readonly sizes: readonly SizeSummary[];
  readonly ended: readonly EndedSummary[];
}

const MS_PER_SECOND = 1000;

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted.length > 0 ? quantileSorted(sorted, share) : 0;
}

function isLateFirst({ answered }: RequestLines): boolean {
  return numberOf(answered, 'firstMs') > numberOf(answered, 'targetMs');
}

function hasLatePause({ answered }: RequestLines): boolean {
  const targetMs = numberOf(answered, 'pauseTargetMs');
  return targetMs > 0 && numberOf(answered, 'longestPauseMs') > targetMs;
}

function cachedShareOf(requests: readonly RequestLines[]): number {
  const sum = (field: string): number =>
    requests.reduce((total, { placed }) => total + numberOf(placed, field), 0);
  const prompt = sum('promptTokens');
  return prompt > 0 ? 1 - sum('unreadTokens') / prompt : 0;
}

function summariseWindow(
  route: string,
  fromS: number,
  requests: readonly RequestLines[],
): WindowSummary {
  const sent = requests.filter(({ placed }) => placed !== undefined);
  const answered = requests.filter(request => request.answered !== undefined);
  const ended = (id: string): number =>
    requests.filter(({ end }) => end?.id === id).length;
  const ratios = answered.map(
    ({ placed, answered: line }) =>
      numberOf(line, 'firstMs') / Math.max(1, numberOf(placed, 'predictedMs')),
  );
  const medianOf = (
    lines: readonly (ParsedLine | undefined)[],
    field: string,
  ): number =>
    quantile(
      lines.map(line => numberOf(line, field)),
      0.5,
    );
  return {
    route,
    fromS,
    placed: sent.length,
    refused: ended('requestRefused'),
    deferred: sent.filter(({ placed }) => placed?.fields.deferred === true)
      .length,
    answered: answered.length,
    lateFirst: answered.filter(isLateFirst).length,
    latePauses: answered.filter(
      request => !isLateFirst(request) && hasLatePause(request),
    ).length,
    cut: ended('requestCut'),
    left: ended('callerLeft'),
    predictedMs: medianOf(
      sent.map(({ placed }) => placed),
      'predictedMs',
    ),
    firstMs: medianOf(
      answered.map(request => request.answered),
      'firstMs',
    ),
    predictionRatioP50: quantile(ratios, 0.5),
    predictionRatioP90: quantile(ratios, 0.9),
    cachedShare: cachedShareOf(sent),
  };
}

function summariseServers(
  lines: readonly ParsedLine[],
): readonly ServerSummary[] {
  const placed = lines.filter(({ id }) => id === 'requestPlaced');
  const byServer = groupBy(placed, line => textOf(line, 'backendServer'));
  return [...byServer]
    .map(([backendServer, attempts]) => ({
      backendServer,
      placed: attempts.length,
      unreadTokens: attempts.reduce(
        (sum, line) => sum + numberOf(line, 'unreadTokens'),
        0,
      ),
    }))
    .sort((a, b) => b.unreadTokens - a.unreadTokens);
}

/**
 * Summarises the log lines of any number of instances by route and time window.
 *
 * Requests whose lines were left out because of the rate limit are not counted;
 * the `linesLeftOut` events state how many lines are missing.
 *
 * @param lines - log lines, in any order
 * @param windowS - length of a window, in seconds
 * @returns the windows of each route in chronological order, the backend servers
 *   by descending number of tokens to read, the outcomes by prompt size, and the
 *   ends by the instances
 */
export function summariseLines(
  lines: readonly ParsedLine[],
  windowS: number,
): LogSummary {
  const dated = lines.map(line => ({ line, ms: Date.parse(line.time) }));
  const startMs = dated.reduce(
    (earliest, { ms }) => (ms < earliest ? ms : earliest),
    Infinity,
  );
  const requests = requestsOf(lines);
  const windowOf = ({ first }: RequestLines): number => {
    const sinceS = (Date.parse(first.time) - startMs) / MS_PER_SECOND;
    return Math.floor(sinceS / windowS) * windowS;
  };
  const windows = [...groupBy(requests, routeOf)].flatMap(([route, ofRoute]) =>
    [...groupBy(ofRoute, request => String(windowOf(request)))]
      .map(([fromS, group]) => summariseWindow(route, Number(fromS), group))
      .sort((a, b) => a.fromS - b.fromS),
  );
  return {
    windows,
    servers: summariseServers(lines),
    sizes: summariseSizes(requests),
    ended: summariseEnded(lines),
  };
}
