import type { Membership } from '@jujubecroft/decisions';
import type { ConfigurationStore } from '@jujubecroft/stores';
import type { InstanceSettings } from '@jujubecroft/settings';

import type { ClaimStore } from './claims/ClaimStore.js';
import type { WriteBatcher } from './claims/WriteBatcher.js';
import type { EventLog } from '@jujubecroft/events';
import type { DecisionFeed } from './host/DecisionFeed.js';
import type { RouterHost } from './host/RouterHost.js';
import type { InstanceMetrics } from './metrics/InstanceMetrics.js';
import type { ConfigurationSync } from './state/ConfigurationSync.js';
import type { ShareLoop } from './state/ShareLoop.js';

/**
 * State and services shared by the HTTP controllers and gRPC handlers of one
 * instance.
 */
export interface InstanceContext {
  readonly settings: InstanceSettings;
  readonly host: RouterHost;
  readonly feed: DecisionFeed;
  readonly metrics: InstanceMetrics;
  readonly membership: Membership;
  readonly store: ConfigurationStore;
  readonly sync: ConfigurationSync;
  readonly claims: ClaimStore;
  /**
   * Writes claims of this instance and, if it is a collector, those of other
   * instances.
   */
  readonly batcher: WriteBatcher;
  readonly shares: ShareLoop;
  readonly log: EventLog;
  /**
   * Whether this instance started so recently that it may not know all members
   * yet.
   */
  readonly isJoining: () => boolean;
  /** Set once a graceful stop has begun. */
  leaving: boolean;
}

/** Nest injection token of the {@link InstanceContext}. */
export const CONTEXT = Symbol('InstanceContext');
