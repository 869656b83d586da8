import { plainBody, streamBody } from '../../src/answers.js';
import type {
  DoneFault,
  Evidence,
  GotNote,
  ReplicaNote,
  SeenAnswer,
  SentRequest,
  SoakBounds,
  SoakKind,
} from '../../src/evidence.js';

const BOUNDS: SoakBounds = {
  contactMs: 3000,
  drainMs: 2000,
  graceMs: 5000,
  configurationMs: 2000,
  retryRatio: 0.2,
  retryExtra: 2,
  retryWindowMs: 10_000,
  attempts: 2,
  slackMs: 0,
};
const EVENTS = 5;
const SENT_MS = 10_000;
const ENDED_MS = 10_400;
const END_MS = 60_000;

function workFor(kind: SoakKind): string {
  const streams = kind === 'stream' || kind === 'resumable';
  return JSON.stringify({
    workMs: 100,
    events: streams ? EVENTS : 0,
    gapMs: 10,
  });
}

/** A request as one caller sends it. */
export function sentOf(
  id: string,
  kind: SoakKind,
  changes: Partial<SentRequest> = {},
): SentRequest {
  return {
    id,
    kind,
    gateway: 0,
    incarnation: 1,
    sentMs: SENT_MS,
    timeLimitMs: 4000,
    target: `/${kind}/x`,
    body: workFor(kind),
    organisation: 'org-1',
    version: null,
    ...changes,
  };
}

/** Its run at a replica. */
export function runOf(
  sent: SentRequest,
  replica: string,
  changes: Partial<GotNote> = {},
): GotNote {
  const { id, target, body, organisation, timeLimitMs, sentMs } = sent;
  return {
    type: 'got',
    id,
    replica,
    service: 'stock',
    atMs: sentMs + 5,
    ran: true,
    target,
    body,
    organisation,
    timeLeftMs: timeLimitMs - 5,
    after: 0,
    endsMs: sentMs + 105,
    ...changes,
  };
}

/** Its whole answer. */
export function answerOf(
  { id, kind }: SentRequest,
  replica: string,
  changes: Partial<SeenAnswer> = {},
): SeenAnswer {
  const mark = `${replica}/${id}`;
  const streams = kind === 'stream' || kind === 'resumable';
  return {
    id,
    endedMs: ENDED_MS,
    status: 200,
    body: streams ? streamBody(id, 1, EVENTS) : plainBody(id, mark),
    whole: true,
    leftMs: null,
    mark,
    ...changes,
  };
}

/** A fault of the given span. */
export function faultOf(
  kind: string,
  target: DoneFault['target'],
  changes: Partial<DoneFault> = {},
): DoneFault {
  return {
    kind,
    target,
    fromMs: SENT_MS,
    toMs: SENT_MS,
    planned: false,
    ...changes,
  };
}

/** Evidence with what a test is about. */
export function evidenceOf(
  seen: Partial<Omit<Evidence, 'answers'>> & {
    readonly answers?: readonly SeenAnswer[];
    readonly notes?: readonly ReplicaNote[];
  },
): Evidence {
  const { answers = [], ...rest } = seen;
  return {
    bounds: BOUNDS,
    sent: [],
    notes: [],
    faults: [],
    leaving: [],
    configured: [],
    dutyCalls: [],
    calmFromMs: 0,
    endMs: END_MS,
    ...rest,
    answers: new Map(answers.map(answer => [answer.id, answer])),
  };
}
