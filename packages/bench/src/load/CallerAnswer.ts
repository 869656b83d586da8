import type { ExecutionStatus } from '@jujubecroft/types';

import type { Outcome } from '../report/ClassTally.js';

/** What one caller experienced, with the evidence for the promises. */
export interface CallerAnswer {
  readonly outcome: Outcome;
  /** Numbered code of a refusal, 0 where there was none. */
  readonly code: number;
  readonly ran: ExecutionStatus | null;
  /** A fault in the answer itself, which no refusal excuses. */
  readonly fault: string | null;
}

/** An answer that came whole. */
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

/** An honest refusal. */
export function refusedAnswer(
  code: number,
  ran: ExecutionStatus,
  tokens: number,
): CallerAnswer {
  return { outcome: { kind: 'refused', tokens }, code, ran, fault: null };
}

/** An answer that is neither whole nor an honest refusal. */
export function brokenAnswer(fault: string, tokens: number): CallerAnswer {
  return { outcome: { kind: 'broken', tokens }, code: 0, ran: null, fault };
}

/** The caller ran out of patience and closed the connection. */
export function leftAnswer(tokens: number): CallerAnswer {
  return { outcome: { kind: 'left', tokens }, code: 0, ran: null, fault: null };
}
