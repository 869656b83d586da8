import type { Replica, SoftwareVersion } from '@jujubecroft/types';

import { isSameVersion } from './isSameVersion.js';

/**
 * Software version that the events of one stream come from. What two versions write
 * does not fit together, and replicas don't check where a stream began.
 *
 * A stream is bound by the first event that its caller gets. Whatever an attempt
 * wrote without an event for the caller binds nothing.
 */
export class StreamBinding {
  #isBound = false;
  #version: SoftwareVersion | null = null;

  /**
   * @param callerLimitMs - time that the caller will wait from this request on, in
   *   milliseconds; null if it doesn't say
   */
  constructor(readonly callerLimitMs: number | null = null) {}

  /** Whether the caller has events of the stream. */
  get isBound(): boolean {
    return this.#isBound;
  }

  /** Version of the events; null if it is unknown or the stream is not bound. */
  get version(): SoftwareVersion | null {
    return this.#version;
  }

  /**
   * Binds the stream, unless it is bound already.
   *
   * @param version - version of the run that wrote the first event; null if unknown
   * @returns whether the stream was not bound before
   */
  bind(version: SoftwareVersion | null): boolean {
    if (this.#isBound) {
      return false;
    }
    this.#isBound = true;
    this.#version = version;
    return true;
  }

  /**
   * Whether a replica may write the next events. Unknown versions differ from all
   * others, also from each other.
   */
  allows({ softwareVersion }: Pick<Replica, 'softwareVersion'>): boolean {
    return !this.#isBound || isSameVersion(this.#version, softwareVersion);
  }
}
