/** A body that is being read. */
export interface Upload {
  /** Number of bytes that were read. */
  readonly length: number;
  /** Reading of the clock when bytes were last read, in milliseconds. */
  readonly progressMs: number;
  /** Refuses the request, and returns the memory of its body. */
  readonly refuse: () => void;
}

/**
 * Time after which a body whose caller sends nothing may be given up for others, in
 * milliseconds.
 */
const STALLED_MS = 1000;

/** The bodies that are being read, of which stalled ones make room for others. */
export class StalledUploads {
  readonly #uploads = new Set<Upload>();

  /** @param clock - monotonic clock, in milliseconds */
  constructor(readonly clock: () => number) {}

  add(upload: Upload): void {
    this.#uploads.add(upload);
  }

  remove(upload: Upload): void {
    this.#uploads.delete(upload);
  }

  /**
   * Refuses stalled bodies, the largest first, until there is room.
   *
   * @param hasRoom - whether there is enough memory; may take it
   * @returns whether there is room
   */
  makeRoom(hasRoom: () => boolean): boolean {
    if (hasRoom()) {
      return true;
    }
    const sinceMs = this.clock() - STALLED_MS;
    const stalled = [...this.#uploads]
      .filter(({ progressMs }) => progressMs < sinceMs)
      .sort((one, other) => other.length - one.length);
    return stalled.some(upload => {
      upload.refuse();
      return hasRoom();
    });
  }
}
