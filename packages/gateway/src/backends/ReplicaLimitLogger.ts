import type { GatewayBoard } from '@jujubecroft/decisions';
import type { EventLog } from '@jujubecroft/events';
import type { BackendServerId } from '@jujubecroft/types';

/** Logs when a backend server states, changes or withdraws a rate limit. */
export class ReplicaLimitLogger {
  readonly #limits = new Map<BackendServerId, number>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly log: EventLog,
  ) {}

  /** Logs the changes since the last call. */
  logChanges(): void {
    this.board.backends.forEach(({ replica, limitPerS: perS }) => {
      const before = this.#limits.get(replica.id) ?? null;
      if (perS === before) {
        return;
      }
      this.#remember(replica.id, perS);
      this.log.write('replicaLimited', {
        backendServer: replica.id,
        service: replica.service,
        perS,
        before,
      });
    });
    [...this.#limits.keys()]
      .filter(id => !this.board.backends.has(id))
      .forEach(id => this.#limits.delete(id));
  }

  #remember(id: BackendServerId, perS: number | null): void {
    if (perS === null) {
      this.#limits.delete(id);
    } else {
      this.#limits.set(id, perS);
    }
  }
}
