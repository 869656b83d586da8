/**
 * What the soak sees from outside: callers' requests and answers, what reached
 * replicas, and what was done to the programs meanwhile.
 *
 * All times are milliseconds of the machine's steady clock, which all processes
 * share.
 */

/** How a request may be treated; each kind has a route of its own. */
export type SoakKind = 'probe' | 'resumable' | 'safe' | 'stream' | 'unsafe';

/** A request as its caller sent it. */
export interface SentRequest {
  readonly id: string;
  readonly kind: SoakKind;
  /** Gateway that the caller was connected to. */
  readonly gateway: number;
  /** Run of that gateway's process. */
  readonly incarnation: number;
  readonly sentMs: number;
  readonly timeLimitMs: number;
  readonly target: string;
  readonly body: string;
  /** Organisation that holds the caller's key. */
  readonly organisation: string;
  /** Configuration that a probe asks for; null for all else. */
  readonly version: number | null;
}

/** A call that one gateway made for all, as the platform carried it out. */
export interface DutyNote {
  readonly holder: string;
  readonly token: number;
  readonly window: number;
  /** What it said of the window, as text. */
  readonly counts: string;
}

/** How a request ended for its caller. */
export interface SeenAnswer {
  readonly id: string;
  readonly endedMs: number;
  /** Null where no head came. */
  readonly status: number | null;
  readonly body: string;
  /** Whether the answer ended as a whole one. */
  readonly whole: boolean;
  /** Whether the caller itself broke off. */
  readonly leftMs: number | null;
  /** Mark of the run that the answer claims to come from; null where it has none. */
  readonly mark: string | null;
}

/** What a replica writes down. */
export type ReplicaNote =
  | {
      readonly type: 'got';
      readonly id: string;
      /** Run of the replica's process; its entries and marks bear it. */
      readonly replica: string;
      readonly service: string;
      readonly atMs: number;
      /** False where the replica turned the request away. */
      readonly ran: boolean;
      readonly target: string;
      readonly body: string;
      readonly organisation: string | null;
      readonly timeLeftMs: number | null;
      /** Last event before the first that is asked for; 0 at a start. */
      readonly after: number;
      /** When the replica means to have ended. */
      readonly endsMs: number;
    }
  | {
      readonly type: 'closed';
      readonly id: string;
      readonly replica: string;
      readonly atMs: number;
      /** Whether the whole answer was written before. */
      readonly whole: boolean;
    }
  | {
      readonly type: 'limit';
      readonly replica: string;
      readonly atMs: number;
      /** Requests a second that it names from now on; null for any number. */
      readonly perS: number | null;
    };

export type LimitNote = Extract<ReplicaNote, { type: 'limit' }>;
export type GotNote = Extract<ReplicaNote, { type: 'got' }>;
export type ClosedNote = Extract<ReplicaNote, { type: 'closed' }>;

/** What a fault or planned change was done to. */
export interface FaultTarget {
  readonly what: 'configuration' | 'gateway' | 'replica' | 'store';
  /** Null for all of them. */
  readonly index: number | null;
}

/** A fault or planned change, with the time until its direct effects were over. */
export interface DoneFault {
  readonly kind: string;
  readonly target: FaultTarget;
  readonly fromMs: number;
  /** Infinity while it lasts. */
  toMs: number;
  /** Whether operators do such a thing on purpose. */
  readonly planned: boolean;
}

/** A replica that began to leave, by the store's acknowledgement. */
export interface Leaving {
  readonly replica: string;
  readonly ackedMs: number;
  /**
   * When its entry was back, as after a pause in which it ran out; Infinity where
   * it left for good.
   */
  backMs: number;
}

/** A configuration, by the store's acknowledgement. */
export interface Configured {
  readonly version: number;
  readonly ackedMs: number;
  /** When a later one took its probe's route away; Infinity while it stands. */
  droppedMs: number;
}

/** Bounds that the programs were started with, and that promises are checked against. */
export interface SoakBounds {
  /** Time without faults after which a gateway is held to bounds in time. */
  readonly contactMs: number;
  readonly drainMs: number;
  readonly graceMs: number;
  readonly configurationMs: number;
  readonly retryRatio: number;
  readonly retryExtra: number;
  readonly retryWindowMs: number;
  /** Replicas that one request may be sent to. */
  readonly attempts: number;
  /** Slack for the machine that the soak runs on, beyond each bound in time. */
  readonly slackMs: number;
}

/** Everything that was seen in one run. */
export interface Evidence {
  readonly bounds: SoakBounds;
  readonly sent: readonly SentRequest[];
  readonly answers: ReadonlyMap<string, SeenAnswer>;
  readonly notes: readonly ReplicaNote[];
  readonly faults: readonly DoneFault[];
  readonly leaving: readonly Leaving[];
  readonly configured: readonly Configured[];
  /** When the last fault was over and calm began. */
  readonly calmFromMs: number;
  readonly endMs: number;
  /** Calls that one gateway made for all, in the order in which they were done. */
  readonly dutyCalls: readonly DutyNote[];
}
