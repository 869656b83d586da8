import type { GatewayBoard } from '@jujubecroft/decisions';
import type { EventLog } from '@jujubecroft/events';
import type { BackendServerId } from '@jujubecroft/types';

/** Logs when a backend server names, changes or drops a limit. */
export class LimitWatch {
  readonly #known = new Map<BackendServerId, number>();

  constructor(
    private readonly board: GatewayBoard,
    private readonly log: EventLog,
  ) {}

  /** Looks for changes since the last call. */
  look(): void {
    this.board.backends.forEach(({ replica, limitPerS: perS }) => {
      const before = this.#known.get(replica.id) ?? null;
      if (perS === before) {
        return;
      }
      this.#keep(replica.id, perS);
      this.log.write('replicaLimited', {
        backendServer: replica.id,
        service: replica.service,
        perS,
        before,
      });
    });
    [...this.#known.keys()]
      .filter(id => !this.board.backends.has(id))
      .forEach(id => this.#known.delete(id));
  }

  #keep(id: BackendServerId, perS: number | null): void {
    if (perS === null) {
      this.#known.delete(id);
    } else {
      this.#known.set(id, perS);
    }
  }
}
