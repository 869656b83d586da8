import type { VirtualTime } from './VirtualTime.js';

const BITS_PER_BYTE = 8;
const MS_PER_SECOND = 1000;
/** Headers that each packet of a stream or datagram bears. */
const PACKET_BYTES = 1460;
const HEADER_BYTES = 60;

/** The link of one machine: what is sent or received waits for what is before it. */
export class VirtualLink {
  #sendBusyUntilMs = 0;
  #receiveBusyUntilMs = 0;
  /** Bytes that were sent. */
  sentBytes = 0;

  /** @param bitsPerS - in each direction; infinite where it never binds */
  constructor(
    private readonly time: VirtualTime,
    private readonly bitsPerS: number,
  ) {}

  /**
   * Sends bytes to another machine.
   *
   * @param bytes - without headers
   * @param wayMs - of one packet
   * @returns the time until all have arrived
   */
  sendTo(other: VirtualLink, bytes: number, wayMs: number): number {
    const packets = Math.ceil(bytes / PACKET_BYTES);
    const all = bytes + packets * HEADER_BYTES;
    this.sentBytes += all;
    const { nowMs } = this.time;
    const sentMs =
      Math.max(nowMs, this.#sendBusyUntilMs) + this.#transmissionMs(all);
    this.#sendBusyUntilMs = sentMs;
    const beginsMs = Math.max(sentMs + wayMs, other.#receiveBusyUntilMs);
    // The other side receives while this one sends; the slower of them decides.
    const arrivedMs = Math.max(
      sentMs + wayMs,
      beginsMs + other.#transmissionMs(all) - this.#transmissionMs(all),
    );
    other.#receiveBusyUntilMs = arrivedMs;
    return arrivedMs - nowMs;
  }

  #transmissionMs(bytes: number): number {
    return (bytes * BITS_PER_BYTE * MS_PER_SECOND) / this.bitsPerS;
  }
}
