import type { BodyFraming, ResultCodeId } from '@jujubecroft/types';

/** How an attempt at one replica ended. */
export type AttemptResult =
  /**
   * The complete answer came, and was a success or an error of the caller's.
   */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly framing: BodyFraming;
    }
  /** The replica ran the request and answered with a failure of its own. */
  | { readonly kind: 'failed'; readonly status: number }
  /** The replica reported that it did not run the request. */
  | { readonly kind: 'notRun'; readonly reason: string }
  /** No byte of the request left this instance. */
  | { readonly kind: 'unsent'; readonly reason: string }
  /** The request was sent but no complete answer came; it may have run. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /**
       * Whether the replica sent bytes that are no response; true only if it did, so that it
       * ran at that moment.
       */
      readonly isInvalid?: boolean;
    }
  /** This instance withdrew the request. */
  | {
      readonly kind: 'withdrawn';
      readonly reason: WithdrawReason;
      /** Whether no byte of the request left this instance; true only if none did. */
      readonly isUnsent?: boolean;
    };

/** Why this instance withdrew an attempt. */
export type WithdrawReason =
  /** The other one of two attempts of the request goes on. */
  | 'answeredElsewhere'
  | 'callerLeft'
  | 'crashesBackends'
  | 'replicaRestarted'
  | 'silent'
  | 'timeLimit';

/** What follows an attempt that did not answer the caller. */
export type Recovery =
  | { readonly kind: 'retry' }
  /** The replica's failure is passed on as the answer. */
  | { readonly kind: 'passOn' }
  | {
      readonly kind: 'answer';
      readonly code: ResultCodeId;
      readonly retryAfterMs: number;
    };
