import type { InstanceId } from '@jujubecroft/types';

/** How a connection to a replica goes through another instance. */
export interface RelayedConnection {
  readonly peer: InstanceId;
  /** Id of the connection in the logs of both instances. */
  readonly tunnel: string;
}
