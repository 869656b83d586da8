import Table from 'cli-table3';
import type {
  EndedSummary,
  LogSummary,
  ServerSummary,
  SizeGroup,
  SizeSummary,
  WindowSummary,
} from '@jujubecroft/events';

const WINDOW_HEAD: readonly string[] = [
  'route',
  'from s',
  'placed',
  'refused',
  'deferred',
  'answered',
  'late first',
  'late pauses',
  'cut',
  'left',
  'predicted ms',
  'first ms',
  'error p50',
  'error p90',
  'kept %',
];
const SERVER_HEAD: readonly string[] = [
  'backend server',
  'placed',
  'tokens to read',
];
const SIZE_HEAD: readonly string[] = [
  'route',
  'prompts',
  'from tokens',
  'tries',
  'answered %',
  'refused',
  'cut',
  'left',
];
const ENDED_HEAD: readonly string[] = [
  'ended by the instance',
  'reason',
  'beside changes',
  'per minute',
  'otherwise',
  'per minute',
];
const PART_NAMES: Readonly<Record<SizeGroup, string>> = {
  largestTenth: 'largest tenth',
  nextFifth: 'fifth below',
  rest: 'the rest',
};
const PERCENT = 100;
const ERROR_DIGITS = 2;
const RATE_DIGITS = 2;

function windowRow(row: WindowSummary): (number | string)[] {
  return [
    row.route,
    row.fromS,
    row.placed,
    row.refused,
    row.deferred,
    row.answered,
    row.lateFirst,
    row.latePauses,
    row.cut,
    row.left,
    Math.round(row.predictedMs),
    Math.round(row.firstMs),
    row.predictionRatioP50.toFixed(ERROR_DIGITS),
    row.predictionRatioP90.toFixed(ERROR_DIGITS),
    Math.round(PERCENT * row.cachedShare),
  ];
}

function serverRow(row: ServerSummary): (number | string)[] {
  return [row.backendServer, row.placed, row.unreadTokens];
}

function sizeRow(row: SizeSummary): (number | string)[] {
  return [
    row.route,
    PART_NAMES[row.part],
    row.fromTokens,
    row.requestCount,
    Math.round((PERCENT * row.answered) / row.requestCount),
    row.refused,
    row.cut,
    row.left,
  ];
}

function endedRow(row: EndedSummary): (number | string)[] {
  return [
    row.event,
    row.reason,
    row.besideChanges,
    row.besidePerMinute.toFixed(RATE_DIGITS),
    row.otherwise,
    row.otherwisePerMinute.toFixed(RATE_DIGITS),
  ];
}

function toTable(
  head: readonly string[],
  rows: readonly (number | string)[][],
): string {
  const table = new Table({ head: [...head], style: { head: [], border: [] } });
  table.push(...rows);
  return table.toString();
}

/**
 * Renders a log summary as tables for a terminal.
 *
 * @param summary - summary of the log lines
 * @returns tables of time windows, of prompt sizes, of backend servers, and of answers that
 *   the instances ended
 */
export function summaryTables({
  windows,
  servers,
  sizes,
  ended,
}: LogSummary): string {
  return [
    toTable(WINDOW_HEAD, windows.map(windowRow)),
    toTable(SIZE_HEAD, sizes.map(sizeRow)),
    toTable(SERVER_HEAD, servers.map(serverRow)),
    toTable(ENDED_HEAD, ended.map(endedRow)),
    '',
  ].join('\n');
}
