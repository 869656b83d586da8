import type { GatewayBoard, HealthVerdict } from '@jujubecroft/decisions';
import type { EventLog } from '@jujubecroft/events';
import type { BackendServerId } from '@jujubecroft/types';

/** Logs when this instance starts or stops avoiding a backend server. */
export class AvoidanceLogger {
  readonly #avoided = new Set<BackendServerId>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly log: EventLog,
  ) {}

  /** Logs the changes since the last call. */
  logChanges(): void {
    this.board.backends.forEach(({ health, replica, inFlight }) => {
      const { verdict } = health;
      if (!this.#updateAvoided(replica.id, verdict)) {
        return;
      }
      this.log.write('backendAvoided', {
        backendServer: replica.id,
        service: replica.service,
        verdict,
        failureShare: Number(health.failureShare.toFixed(2)),
        inFlight,
      });
    });
    [...this.#avoided]
      .filter(id => !this.board.backends.has(id))
      .forEach(id => this.#avoided.delete(id));
  }

  /**
   * Updates the set of avoided backend servers; one that is being probed counts
   * as avoided.
   *
   * @returns whether the backend server changed between avoided and used
   */
  #updateAvoided(id: BackendServerId, verdict: HealthVerdict): boolean {
    const wasAvoided = this.#avoided.has(id);
    if (wasAvoided === (verdict !== 'good')) {
      return false;
    }
    if (wasAvoided) {
      this.#avoided.delete(id);
    } else {
      this.#avoided.add(id);
    }
    return true;
  }
}
