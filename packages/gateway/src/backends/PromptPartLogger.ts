import type { GatewayBoard, PartVerdict } from '@jujubecroft/decisions';
import type { EventLog } from '@jujubecroft/events';
import type { PromptPartKey } from '@jujubecroft/types';

type PartState = 'barred' | 'clear' | 'suspect';

function stateOf({ isBarred, isSuspect }: PartVerdict): PartState {
  if (isBarred) {
    return 'barred';
  }
  return isSuspect ? 'suspect' : 'clear';
}

/**
 * Logs which parts of prompts are suspected to crash backend servers, become barred and are
 * cleared.
 */
export class PromptPartLogger {
  readonly #states = new Map<PromptPartKey, PartState>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly log: EventLog,
  ) {}

  /** Logs the changes since the last call. */
  logChanges(): void {
    const { parts } = this.board.crashes;
    if (parts.isEmpty && this.#states.size === 0) {
      return;
    }
    new Set([...parts.suspects, ...this.#states.keys()]).forEach(part => {
      this.#logChange(part);
    });
  }

  #logChange(part: PromptPartKey): void {
    const { crashes, clock } = this.board;
    const verdict = crashes.parts.judge(part);
    const state = stateOf(verdict);
    if (state === (this.#states.get(part) ?? 'clear')) {
      return;
    }
    if (state === 'clear') {
      this.#states.delete(part);
    } else {
      this.#states.set(part, state);
    }
    const { trialAtMs } = verdict;
    this.log.write('promptPartJudged', {
      part,
      state,
      crashes: verdict.crashes,
      crashed: crashes.parts.runsOf(part).map(({ id }) => id),
      wasServed: verdict.wasServed,
      trialInMs: trialAtMs === null ? null : Math.round(trialAtMs - clock()),
    });
  }
}
