import type { RequestId } from '@jujubecroft/types';

/** A run that should go on at another replica. */
export interface RunMove {
  readonly request: RequestId;
  /** Address of the replica that runs it. */
  readonly from: string;
  /** Address of the replica that is to go on. */
  readonly to: string;
}

/** Orders to engines about what they run. */
export interface EngineControl {
  /**
   * Stops a run and copies its memory to another replica.
   *
   * @returns what the other replica is told to go on from
   * @throws Error where the run can't be moved, or no answer came; it may have stopped
   */
  readonly moveRun: (move: RunMove) => Promise<string>;
}
