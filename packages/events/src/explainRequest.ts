import type { ParsedLine } from './readLogLines.js';

/** The story of one request, as its log lines tell it. */
export interface RequestStory {
  /** One sentence for each line, in order. */
  readonly steps: readonly string[];
  /** Why the request ended as it did, in one sentence. */
  readonly cause: string;
}

type Fields = Readonly<Record<string, unknown>>;

const END_EVENTS: readonly string[] = [
  'callerLeft',
  'requestAnswered',
  'requestCut',
  'requestRefused',
];

function show(value: unknown): string {
  return typeof value === 'string' || typeof value === 'number'
    ? String(value)
    : JSON.stringify(value ?? null);
}

/** What sets a placed request apart from others at its replica. */
function orderOf({ deferred, fetchFrom }: Fields): string {
  const behind = deferred === true ? '; late anyway, so behind the others' : '';
  const copies =
    fetchFrom === undefined
      ? ''
      : `; copies cached parts of ${show(fetchFrom)}`;
  return `${behind}${copies}`;
}

/** How each kind of line reads; others are shown with all their fields. */
const SENTENCES: Readonly<Record<string, (fields: Fields) => string>> = {
  requestPlaced: f =>
    `attempt ${show(f.attempt)} goes to ${show(f.backendServer)} at rank ${show(f.rank)}, the best of ${show(f.candidates)}: first byte expected after ${show(f.predictedMs)} ms with ${show(f.tokensAhead)} prompt tokens ahead and ${show(f.inFlight)} requests there; replicas as of version ${show(f.replicasVersion)}, ${show(f.replicasAgeMs)} ms old, configuration ${show(f.configuration)}; ${show(f.leftMs)} ms left${orderOf(f)}`,
  attemptFailed: f =>
    `the attempt ends: ${show(f.result)} (${show(f.reason ?? f.status)}); next: ${show(f.next)}; sent ${show(f.sent)} times, repeats left in the budget ${show(f.budgetLeft)}, idempotent ${show(f.idempotent)}`,
  requestAnswered: f =>
    `answered with ${show(f.status)} after ${show(f.wholeMs)} ms, first byte after ${show(f.firstMs)} ms against a target of ${show(f.targetMs)} ms`,
  requestRefused: f =>
    `refused as ${show(f.code)} after ${show(f.afterMs)} ms: first byte predicted after ${show(f.predictedMs)} ms, allowed ${show(f.allowedMs)} ms; end predicted after ${show(f.predictedWholeMs)} ms, allowed ${show(f.allowedWholeMs)} ms; ${show(f.tokensAhead)} prompt tokens ahead, ${show(f.lessUrgentTokens)} of less urgent requests of this instance; ${show(f.candidates)} candidates; told to come back after ${show(f.retryAfterMs)} ms`,
  requestCut: f =>
    `ended as ${show(f.code)} after ${show(f.afterMs)} ms and ${show(f.attempts)} attempts; the caller ${f.started === true ? 'had the beginning of an answer' : 'had nothing yet'}`,
  callerLeft: f =>
    `the caller closed its connection after ${show(f.afterMs)} ms`,
};

function sentenceOf(line: ParsedLine): string {
  const render = SENTENCES[line.id];
  const text = render
    ? render(line.fields)
    : `${line.id} ${JSON.stringify(line.fields)}`;
  return `${line.time} ${line.instance}: ${text}`;
}

/** What became of the instance after its last word on the request. */
function fateOf(
  last: ParsedLine,
  lines: readonly ParsedLine[],
): string | undefined {
  const after = lines.filter(
    line => line.instance === last.instance && line.time > last.time,
  );
  const next = after.find(
    ({ id }) => id === 'instanceStarted' || id === 'instanceStopped',
  );
  if (next?.id === 'instanceStarted') {
    return `${last.instance} ended without a word while the request ran, and started again at ${next.time}`;
  }
  if (next) {
    return `${last.instance} reached the end of its time to stop while the request ran`;
  }
  return undefined;
}

function causeOfFailure(failed: ParsedLine): string {
  const { result, reason, status, idempotent } = failed.fields;
  const what = show(reason ?? status);
  switch (result) {
    case 'failed':
      return `the backend server answered with a failure of its own (${what})`;
    case 'notRun':
      return `the backend server said that it did not run the request (${what})`;
    case 'unsent':
      return `no connection to the backend server (${what})`;
    case 'withdrawn':
      return reason === 'timeLimit'
        ? 'the backend server did not finish within the time limit'
        : `this instance gave the attempt up (${what})`;
    default:
      return `the answer was lost after the request was sent (${what})${idempotent === false ? '; it may have run and may not run twice' : ''}`;
  }
}

function causeOf(
  own: readonly ParsedLine[],
  lines: readonly ParsedLine[],
): string {
  const last = own.at(-1);
  if (!last) {
    return 'no line names this request: it never reached an instance, or its lines were left out';
  }
  const end = own.findLast(({ id }) => END_EVENTS.includes(id));
  if (!end) {
    return fateOf(last, lines) ?? 'the request had not ended when the log did';
  }
  const failed = own.findLast(({ id }) => id === 'attemptFailed');
  switch (end.id) {
    case 'requestAnswered':
      return 'it was answered';
    case 'callerLeft':
      return 'the caller left before the answer ended';
    case 'requestRefused':
      return failed
        ? causeOfFailure(failed)
        : `it was refused and did not run: ${show(end.fields.code)}`;
    default:
      return failed ? causeOfFailure(failed) : show(end.fields.code);
  }
}

/**
 * Tells the story of one request from the logs of any number of instances.
 *
 * @param lines - parsed log lines
 * @param request - id of the request
 * @returns its steps in order, and why it ended as it did
 */
export function explainRequest(
  lines: readonly ParsedLine[],
  request: string,
): RequestStory {
  const own = lines
    .filter(({ fields }) => fields.request === request)
    .sort((a, b) =>
      a.instance === b.instance
        ? a.atMs - b.atMs
        : a.time.localeCompare(b.time),
    );
  return { steps: own.map(sentenceOf), cause: causeOf(own, lines) };
}
