import { plainBody, streamBody } from '../../src/answers.js';
import type {
  ConfigurationWrite,
  Evidence,
  InjectedFault,
  ObservedResponse,
  ReceivedNote,
  ReplicaNote,
  SentRequest,
  SoakBounds,
  SoakKind,
} from '../../src/evidence.js';

const BOUNDS: SoakBounds = {
  faultFreeMs: 3000,
  drainMs: 2000,
  graceMs: 5000,
  configurationPropagationMs: 2000,
  retryRatio: 0.2,
  retryExtra: 2,
  retryWindowMs: 10_000,
  attempts: 2,
  slackMs: 0,
};
const EVENT_COUNT = 5;
const SENT_MS = 10_000;
const ENDED_MS = 10_400;
const END_MS = 60_000;

/** Returns the body of a request of a kind. */
function bodyFor(kind: SoakKind): string {
  const isStreaming = kind === 'stream' || kind === 'resumable';
  return JSON.stringify({
    workMs: 100,
    events: isStreaming ? EVENT_COUNT : 0,
    gapMs: 10,
  });
}

/** Returns a request as a caller sends it. */
export function requestOf(
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
    body: bodyFor(kind),
    organisation: 'org-1',
    version: null,
    continues: null,
    ...changes,
  };
}

/** Returns the note of a replica that executed a request. */
export function executionOf(
  sent: SentRequest,
  replica: string,
  changes: Partial<ReceivedNote> = {},
): ReceivedNote {
  const { id, target, body, organisation, timeLimitMs, sentMs } = sent;
  return {
    type: 'got',
    id,
    replica,
    service: 'stock',
    atMs: sentMs + 5,
    ran: true,
    pauseMs: null,
    target,
    body,
    organisation,
    timeLeftMs: timeLimitMs - 5,
    after: 0,
    endsMs: sentMs + 105,
    ...changes,
  };
}

/** Returns the complete response of a replica to a request. */
export function responseOf(
  { id, kind }: SentRequest,
  replica: string,
  changes: Partial<ObservedResponse> = {},
): ObservedResponse {
  const stamp = `${replica}/${id}`;
  const isStreaming = kind === 'stream' || kind === 'resumable';
  return {
    id,
    endedMs: ENDED_MS,
    status: 200,
    body: isStreaming
      ? streamBody({ id, events: EVENT_COUNT, version: 'v1.1' }, 1)
      : plainBody(id, stamp),
    whole: true,
    leftMs: null,
    stamp,
    ...changes,
  };
}

/** Returns an unplanned fault at the time at which requests are sent. */
export function faultOf(
  kind: string,
  target: InjectedFault['target'],
  changes: Partial<InjectedFault> = {},
): InjectedFault {
  return {
    kind,
    target,
    fromMs: SENT_MS,
    toMs: SENT_MS,
    planned: false,
    ...changes,
  };
}

/** Returns a configuration that was written before requests are sent. */
export function configurationWriteOf(
  version: number,
  changes: Partial<ConfigurationWrite> = {},
): ConfigurationWrite {
  return {
    version,
    ackedMs: 0,
    shortestTimeoutMs: 5000,
    routeRemovedMs: Infinity,
    ...changes,
  };
}

/** Returns evidence with the given observations, empty otherwise. */
export function evidenceOf(
  observations: Partial<Omit<Evidence, 'answers'>> & {
    readonly answers?: readonly ObservedResponse[];
    readonly notes?: readonly ReplicaNote[];
  },
): Evidence {
  const { answers = [], ...rest } = observations;
  return {
    bounds: BOUNDS,
    sent: [],
    notes: [],
    faults: [],
    leaving: [],
    configurationWrites: [],
    dutyCalls: [],
    ownEnds: [],
    cooldownFromMs: 0,
    endMs: END_MS,
    ...rest,
    answers: new Map(answers.map(answer => [answer.id, answer])),
  };
}
