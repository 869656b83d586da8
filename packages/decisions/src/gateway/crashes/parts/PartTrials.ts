import type { InstanceId, PromptPartKey, RequestId } from '@jujubecroft/types';

import type { Clock } from '../../../blackboard/Blackboard.js';
import { compareHashed, toHashedId } from '../../../util/byHash.js';

/** A request with a barred part that is sent to find out whether it is served now. */
interface Trial {
  readonly request: RequestId;
  /** When the trial counts as ended if nothing came of it, on the local clock. */
  readonly endsMs: number;
}

/** Time after which another instance may begin a trial; news of one spread faster. */
const STAGGER_MS = 2000;
/** Time after which a trial without a result is followed by another. */
const TRIAL_TIMEOUT_MS = 15_000;

/**
 * Trials of barred prompt parts.
 *
 * Instances take turns by an order that each of them knows, so that one trial costs one
 * replica and not one for each instance.
 */
export class PartTrials {
  readonly #trials = new Map<PromptPartKey, Trial>();
  #live: readonly InstanceId[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly instance: InstanceId,
  ) {}

  /** Updates the set of live instances. */
  onInstances(live: readonly InstanceId[]): void {
    this.#live = live;
  }

  /**
   * When this instance may begin a trial, on the local clock.
   *
   * @param part - the barred part
   * @param dueMs - when the first instance may, on the local clock
   */
  turnMs(part: PromptPartKey, dueMs: number): number {
    const positionOf = (id: InstanceId) => toHashedId(`${part}/${id}`);
    const own = positionOf(this.instance);
    const rank = this.#live.filter(
      id => id !== this.instance && compareHashed(positionOf(id), own) < 0,
    ).length;
    return dueMs + STAGGER_MS * rank;
  }

  /** Whether a trial of a part is in progress at this instance. */
  isRunning(part: PromptPartKey): boolean {
    return (this.#trials.get(part)?.endsMs ?? -Infinity) > this.clock();
  }

  /** Whether a request is the trial of a part. */
  isTrial(part: PromptPartKey, request: RequestId): boolean {
    return this.#trials.get(part)?.request === request;
  }

  /** Records that a request with a barred part is sent as its trial. */
  begin(part: PromptPartKey, request: RequestId): void {
    const endsMs = this.clock() + TRIAL_TIMEOUT_MS;
    this.#trials.set(part, { request, endsMs });
  }

  /** Records that the evidence on a part has changed, which ends its trial. */
  end(part: PromptPartKey): void {
    this.#trials.delete(part);
  }
}
