import {
  describeIncomplete,
  describeOthersWithdrawn,
  describeWithdrawal,
} from './describeWithdrawal.js';
import type { ParsedLine } from './readLogLines.js';

/** What happened to one request, according to its log lines. */
export interface RequestExplanation {
  /** One sentence for each log line, in chronological order. */
  readonly steps: readonly string[];
  /** Why the request ended as it did, in one clause. */
  readonly cause: string;
}

type Fields = Readonly<Record<string, unknown>>;

const END_EVENTS: readonly string[] = [
  'callerLeft',
  'requestAnswered',
  'requestCut',
  'requestNotBegun',
  'requestRefused',
];

/** Reasons of incomplete responses that other lines about the end don't state. */
const OWN_FAULTS: readonly unknown[] = [
  'error',
  'instanceStopped',
  'notBegun',
  'unknown',
];

function formatValue(value: unknown): string {
  return typeof value === 'string' || typeof value === 'number'
    ? String(value)
    : JSON.stringify(value ?? null);
}

/** Describes a deferral and a cache copy of an attempt; empty where there are none. */
function describePlacement({ deferred, fetchFrom }: Fields): string {
  const behind = deferred === true ? '; late anyway, so behind the others' : '';
  const copies =
    fetchFrom === undefined
      ? ''
      : `; copies cached parts of ${formatValue(fetchFrom)}`;
  return `${behind}${copies}`;
}

/** Describes the software versions of an attempt; empty where the line has none. */
function describeVersion({
  softwareVersion,
  boundVersion,
  resumes,
}: Fields): string {
  const own =
    softwareVersion === undefined
      ? ''
      : `; software version ${formatValue(softwareVersion)}`;
  const bound =
    boundVersion === undefined
      ? ''
      : `; the stream began at version ${formatValue(boundVersion)}`;
  const resumed =
    resumes === undefined
      ? ''
      : `; the caller continues the stream of request ${formatValue(resumes)}`;
  return `${own}${bound}${resumed}`;
}

/** Describes the crashes that a refusal is due to; empty where it isn't due to any. */
function describeCrashes({ fingerprint, crashed, parts }: Fields): string {
  const content =
    crashed === undefined
      ? ''
      : `; its content ${formatValue(fingerprint)} was lost in crashes of ${formatValue(crashed)}`;
  return parts === undefined
    ? content
    : `${content}; parts of its prompt were lost in crashes: ${formatValue(parts)}`;
}

/** Describes why an organisation was held back; empty where it wasn't. */
function describeShare(fields: Fields): string {
  return fields.because === 'aboveShare'
    ? `; its organisation offers work of ${formatValue(fields.organisationUsePerS)} per second and its share of the short capacity is ${formatValue(fields.organisationSharePerS)}`
    : '';
}

/** Describes how an answer ended where its framing does not prove it complete. */
function describeEnd({ framing, insideEvent }: Fields): string {
  const byClose =
    framing === 'closeDelimited'
      ? '; its end is the end of the connection, which counts only if its backend server runs on'
      : '';
  return insideEvent === true
    ? `${byClose}; it ended inside an event`
    : byClose;
}

/** What a refusal rests on; empty where the line does not state it. */
function describeProof({ status, decidedBy, proof, statedBy }: Fields): string {
  const decided =
    status === undefined || status === null
      ? ''
      : `; the caller got status ${formatValue(status)}, decided by the ${formatValue(decidedBy)}`;
  switch (proof) {
    case 'unsent':
      return `${decided}; it did not run, since no byte of it left this instance`;
    case 'stated':
      return `${decided}; it did not run, as stated by ${statedBy === undefined ? 'each replica that it was sent to' : formatValue(statedBy)}`;
    default:
      return decided;
  }
}

/** Describes an error of a caller's connection, which the server handled by itself. */
function describeConnectionError({ code, status, unanswered }: Fields): string {
  const written =
    status === null
      ? 'nothing was written'
      : `${formatValue(status)} was written`;
  return `the caller's connection failed (${formatValue(code)}) while ${formatValue(unanswered)} had no complete answer; ${written}`;
}

/** Sentence for each kind of line; other kinds are shown with all their fields. */
const SENTENCES: Readonly<Record<string, (fields: Fields) => string>> = {
  requestPlaced: f =>
    `attempt ${formatValue(f.attempt)} is sent to ${formatValue(f.backendServer)} at rank ${formatValue(f.rank)}, the best of ${formatValue(f.candidates)} candidates: first byte expected after ${formatValue(f.predictedMs)} ms with ${formatValue(f.tokensAhead)} prompt tokens ahead and ${formatValue(f.inFlight)} requests there; replicas as of version ${formatValue(f.replicasVersion)}, ${formatValue(f.replicasAgeMs)} ms old, configuration ${formatValue(f.configuration)}; ${formatValue(f.leftMs)} ms left${describePlacement(f)}${describeVersion(f)}`,
  sentOnOldView: f =>
    `sent to ${formatValue(f.backendServer)} by a view that ${formatValue(f.confirmedBy)} confirmed last, ${formatValue(f.viewAgeMs)} ms ago (${formatValue(f.state)}); entry as of version ${formatValue(f.rowVersion)}, replicas as of version ${formatValue(f.replicasVersion)}`,
  attemptFailed: f =>
    `the attempt ends: ${formatValue(f.result)} (${formatValue(f.reason ?? f.status)})${f.reused === true ? ' on a kept connection' : ''}; next: ${formatValue(f.next)}; sent ${formatValue(f.sent)} times, retries left in the budget: ${formatValue(f.budgetLeft)}, idempotent ${formatValue(f.idempotent)}${describeEnd(f)}`,
  requestRelayed: f =>
    `goes to ${formatValue(f.backendServer)} through ${formatValue(f.peer)}, over tunnel ${formatValue(f.tunnel)}, since the direct path is lost`,
  tunnelOpened: f =>
    `opens tunnel ${formatValue(f.tunnel)} to ${formatValue(f.backendServer)} for another instance`,
  pathLost: f =>
    `does not reach ${formatValue(f.backendServer)}, which ${formatValue(f.peer)} reaches; lost paths: ${formatValue(f.lostPaths)}`,
  requestAnswered: f =>
    `answered with ${formatValue(f.status)} after ${formatValue(f.wholeMs)} ms, first byte after ${formatValue(f.firstMs)} ms against a target of ${formatValue(f.targetMs)} ms${describeEnd(f)}`,
  requestRefused: f =>
    `refused as ${formatValue(f.code)} after ${formatValue(f.afterMs)} ms: first byte predicted after ${formatValue(f.predictedMs)} ms, allowed ${formatValue(f.allowedMs)} ms; complete answer predicted after ${formatValue(f.predictedWholeMs)} ms, allowed ${formatValue(f.allowedWholeMs)} ms; ${formatValue(f.tokensAhead)} prompt tokens ahead, ${formatValue(f.lessUrgentTokens)} unread ones of less urgent requests of this instance; ${formatValue(f.candidates)} candidates; the caller may retry after ${formatValue(f.retryAfterMs)} ms${describeProof(f)}`,
  requestCut: f =>
    `ended as ${formatValue(f.code)} after ${formatValue(f.afterMs)} ms and ${formatValue(f.attempts)} attempts; the caller ${f.started === true ? 'had received the beginning of an answer' : 'had received nothing'}${describeProof(f)}`,
  connectionError: describeConnectionError,
  callerLeft: f =>
    `the caller closed its connection after ${formatValue(f.afterMs)} ms`,
  requestNotBegun: () =>
    'its connection ended while it waited for the answer to an earlier request',
};

function textOfLine(line: ParsedLine, lines: readonly ParsedLine[]): string {
  switch (line.id) {
    case 'attemptWithdrawn':
      return `${describeWithdrawal(line)}${describeOthersWithdrawn(line, lines)}`;
    case 'responseIncomplete':
      return describeIncomplete(line);
    default:
      return (
        SENTENCES[line.id]?.(line.fields) ??
        `${line.id} ${JSON.stringify(line.fields)}`
      );
  }
}

function sentenceOf(line: ParsedLine, lines: readonly ParsedLine[]): string {
  return `${line.time} ${line.instance}: ${textOfLine(line, lines)}`;
}

/** Describes a crash or stop of the instance that wrote the last line of the request, if there was one. */
function describeInstanceEnd(
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
    return `${last.instance} stopped at the end of its grace period while the request ran`;
  }
  return undefined;
}

function describeFailure(failed: ParsedLine): string {
  const { result, reason, status, idempotent } = failed.fields;
  const what = formatValue(reason ?? status);
  switch (result) {
    case 'failed':
      return `the backend server answered with a failure of its own (${what})`;
    case 'notRun':
      return `the backend server said that it did not run the request (${what})`;
    case 'unsent':
      return `no connection to the backend server could be opened (${what})`;
    case 'withdrawn':
      return reason === 'timeLimit'
        ? 'the backend server did not finish within the time limit'
        : `this instance gave up the attempt (${what})`;
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
  const incomplete = own.findLast(({ id }) => id === 'responseIncomplete');
  if (
    incomplete &&
    (!end ||
      end.id === 'requestAnswered' ||
      OWN_FAULTS.includes(incomplete.fields.reason))
  ) {
    return describeIncomplete(incomplete);
  }
  if (!end) {
    return (
      describeInstanceEnd(last, lines) ?? 'the logs end before the request does'
    );
  }
  const failed = own.findLast(({ id }) => id === 'attemptFailed');
  const withdrawn = own.findLast(({ id }) => id === 'attemptWithdrawn');
  const others = withdrawn ? describeOthersWithdrawn(withdrawn, lines) : '';
  switch (end.id) {
    case 'requestAnswered':
      return 'it was answered';
    case 'callerLeft':
      return 'the caller closed its connection before the answer ended';
    case 'requestNotBegun':
      return 'its connection ended before it began; it was sent to no backend server';
    case 'requestRefused':
      return failed
        ? describeFailure(failed)
        : `it was refused and did not run: ${formatValue(end.fields.code)}${describeShare(end.fields)}${describeCrashes(end.fields)}`;
    default:
      return failed
        ? `${describeFailure(failed)}${failed.fields.result === 'withdrawn' ? others : ''}`
        : formatValue(end.fields.code);
  }
}

/** Whether a line lists a request among those that its connection carried. */
function isAffected({ unanswered }: Fields, request: string): boolean {
  return Array.isArray(unanswered) && unanswered.includes(request);
}

/**
 * Selects the lines of one request and those of the tunnels that it went through,
 * which other instances wrote.
 */
function linesOf(
  lines: readonly ParsedLine[],
  request: string,
): readonly ParsedLine[] {
  const tunnels = new Set(
    lines
      .filter(({ fields }) => fields.request === request)
      .map(({ fields }) => fields.tunnel),
  );
  return lines.filter(({ fields }) =>
    fields.request === undefined
      ? isAffected(fields, request) ||
        (fields.tunnel !== undefined && tunnels.has(fields.tunnel))
      : fields.request === request,
  );
}

/**
 * Explains what happened to one request from the logs of any number of instances.
 *
 * @param lines - parsed log lines
 * @param request - id of the request
 * @returns the steps of the request in order, and why it ended as it did
 */
export function explainRequest(
  lines: readonly ParsedLine[],
  request: string,
): RequestExplanation {
  const own = [...linesOf(lines, request)].sort((a, b) =>
    a.instance === b.instance ? a.atMs - b.atMs : a.time.localeCompare(b.time),
  );
  return {
    steps: own.map(line => sentenceOf(line, lines)),
    cause: causeOf(own, lines),
  };
}
