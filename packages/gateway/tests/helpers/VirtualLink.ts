import type { VirtualTime } from './VirtualTime.js';

const BITS_PER_BYTE = 8;
const MS_PER_SECOND = 1000;
/** Maximum payload of one packet. */
const PACKET_BYTES = 1460;
/** Size of the headers of each packet. */
const HEADER_BYTES = 60;

/** The network link of one machine, which queues transfers in each direction. */
export class VirtualLink {
  #sendBusyUntilMs = 0;
  #receiveBusyUntilMs = 0;
  /** Number of bytes sent, with packet headers. */
  sentBytes = 0;

  /**
   * @param time - the clock
   * @param bitsPerS - capacity in each direction, in bits per second; may be infinite
   */
  constructor(
    private readonly time: VirtualTime,
    private readonly bitsPerS: number,
  ) {}

  /**
   * Sends bytes to another machine.
   *
   * @param other - link of the other machine
   * @param bytes - number of bytes, without packet headers
   * @param delayMs - network delay of one packet, in milliseconds
   * @returns the time until all bytes have arrived, in milliseconds
   */
  sendTo(other: VirtualLink, bytes: number, delayMs: number): number {
    const packets = Math.ceil(bytes / PACKET_BYTES);
    const totalBytes = bytes + packets * HEADER_BYTES;
    this.sentBytes += totalBytes;
    const { nowMs } = this.time;
    const sentMs =
      Math.max(nowMs, this.#sendBusyUntilMs) + this.#transmissionMs(totalBytes);
    this.#sendBusyUntilMs = sentMs;
    const receiveStartMs = Math.max(
      sentMs + delayMs,
      other.#receiveBusyUntilMs,
    );
    // Sending and receiving overlap, so the slower link determines the arrival.
    const arrivedMs = Math.max(
      sentMs + delayMs,
      receiveStartMs +
        other.#transmissionMs(totalBytes) -
        this.#transmissionMs(totalBytes),
    );
    other.#receiveBusyUntilMs = arrivedMs;
    return arrivedMs - nowMs;
  }

  #transmissionMs(bytes: number): number {
    return (bytes * BITS_PER_BYTE * MS_PER_SECOND) / this.bitsPerS;
  }
}
