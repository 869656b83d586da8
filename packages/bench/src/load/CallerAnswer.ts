import type { ExecutionStatus } from '@jujubecroft/types';

import type { CallOutcome } from '../report/ClassTally.js';

/** Outcome of one call as its caller saw it, with what is needed to check the promises. */
export interface CallerAnswer {
  readonly outcome: CallOutcome;
  /** Error code of a refusal; 0 if there was none. */
  readonly code: number;
  /** Whether the call ran at a backend server; null if the caller can't tell. */
  readonly ran: ExecutionStatus | null;
  /** Defect of the answer; null for complete answers, refusals and calls that the caller left. */
  readonly fault: string | null;
}

/** Creates the result of a call that was answered completely. */
export function wholeAnswer(
  tokens: number,
  firstTokenMs: number,
  betweenTokensMs: number,
): CallerAnswer {
  return {
    outcome: { kind: 'whole', tokens, firstTokenMs, betweenTokensMs },
    code: 0,
    ran: 'yes',
    fault: null,
  };
}

/** Creates the result of a call that was refused with an error code. */
export function refusedAnswer(
  code: number,
  ran: ExecutionStatus,
  tokens: number,
): CallerAnswer {
  return { outcome: { kind: 'refused', tokens }, code, ran, fault: null };
}

/** Creates the result of a call whose answer is neither complete nor a valid refusal. */
export function brokenAnswer(fault: string, tokens: number): CallerAnswer {
  return { outcome: { kind: 'broken', tokens }, code: 0, ran: null, fault };
}

/** Creates the result of a call that the caller aborted because it took too long. */
export function leftAnswer(tokens: number): CallerAnswer {
  return { outcome: { kind: 'left', tokens }, code: 0, ran: null, fault: null };
}
