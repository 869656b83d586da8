import type { GatewayBoard, HealthVerdict } from '@jujubecroft/decisions';
import type { EventLog } from '@jujubecroft/events';
import type { BackendServerId } from '@jujubecroft/types';

/** Logs when this instance begins or ceases to avoid a backend server. */
export class VerdictWatch {
  readonly #avoided = new Set<BackendServerId>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly log: EventLog,
  ) {}

  /** Looks for changes since the last call. */
  look(): void {
    this.board.backends.forEach(({ health, replica, inFlight }) => {
      const { verdict } = health;
      if (!this.#hasChanged(replica.id, verdict)) {
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

  /** Probes belong to the time of being avoided. */
  #hasChanged(id: BackendServerId, verdict: HealthVerdict): boolean {
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
