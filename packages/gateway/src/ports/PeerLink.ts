import type { proto } from '@jujubecroft/operator/peers';

/** Receives messages from other instances. */
export interface PeerReceiver {
  /** Called with each datagram and the address of its sender. */
  readonly onDatagram: (bytes: Uint8Array, from: string) => void;
  /**
   * Returns the state that the requesting instance lacks, given its own state.
   */
  readonly onPull: (theirs: proto.GatewayState) => proto.GatewayState;
  /**
   * Called if a datagram could not be sent; the address is empty if it is
   * unknown.
   */
  readonly onSendError: (to: string, err: Error) => void;
}

/** Transport between instances. */
export interface PeerLink {
  /**
   * Starts receiving.
   *
   * @throws Error if the address is in use
   */
  readonly listen: (receiver: PeerReceiver) => Promise<void>;
  /** Sends a datagram; it may be lost. */
  readonly send: (bytes: Uint8Array, to: string) => void;
  /**
   * Requests from another instance all state that this one lacks.
   *
   * @throws Error if no complete response arrives in time
   */
  readonly pull: (
    address: string,
    state: proto.GatewayState,
  ) => Promise<proto.GatewayState>;
  readonly close: () => Promise<void>;
}
