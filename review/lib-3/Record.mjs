// Writes what was sent, answered and run, one line each.
import { writeFileSync } from 'node:fs';

export class Record {
  #lines = [];
  #startedMs = performance.now();

  constructor(file) {
    this.file = file;
  }

  note(text) {
    const atMs = Math.round(performance.now() - this.#startedMs);
    this.#lines.push(`${String(atMs).padStart(7)} ${text}`);
  }

  write(verdict) {
    this.#lines.push(`verdict: ${verdict}`);
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}
