import type { GatewayBoard } from '@jujubecroft/decisions';
import type { EventLog } from '@jujubecroft/events';
import type { RequestFingerprint } from '@jujubecroft/types';

/**
 * Logs which request contents become barred because they crash backend servers,
 * and which are permitted again.
 */
export class BarredRequestLogger {
  #barred: readonly RequestFingerprint[] = [];

  constructor(
    private readonly board: GatewayBoard,
    private readonly log: EventLog,
  ) {}

  /** Logs the changes since the last call. */
  logChanges(): void {
    const { crashes } = this.board;
    const before = this.#barred;
    this.#barred = crashes.barred;
    this.#write(this.#barred.filter(content => !before.includes(content)));
    this.#write(before.filter(content => !this.#barred.includes(content)));
  }

  #write(contents: readonly RequestFingerprint[]): void {
    const { crashes } = this.board;
    contents.forEach(fingerprint => {
      this.log.write('requestBarred', {
        fingerprint,
        barred: this.#barred.includes(fingerprint),
        crashed: crashes.crashesOf(fingerprint),
        forMs: Math.round(crashes.barredForMs(fingerprint)),
      });
    });
  }
}
