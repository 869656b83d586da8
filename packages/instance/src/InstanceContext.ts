import type { Membership } from '@jujubecroft/decisions';
import type { ConfigurationStore } from '@jujubecroft/stores';
import type { InstanceSettings } from '@jujubecroft/settings';

import type { ClaimBook } from './claims/ClaimBook.js';
import type { WriteBatcher } from './claims/WriteBatcher.js';
import type { EventLog } from '@jujubecroft/events';
import type { DecisionFeed } from './host/DecisionFeed.js';
import type { RouterHost } from './host/RouterHost.js';
import type { InstanceMetrics } from './metrics/InstanceMetrics.js';
import type { ConfigurationSync } from './state/ConfigurationSync.js';
import type { ShareLoop } from './state/ShareLoop.js';

/** Everything that the controllers of one instance share. */
export interface InstanceContext {
  readonly settings: InstanceSettings;
  readonly host: RouterHost;
  readonly feed: DecisionFeed;
  readonly metrics: InstanceMetrics;
  readonly membership: Membership;
  readonly store: ConfigurationStore;
  readonly sync: ConfigurationSync;
  readonly claims: ClaimBook;
  /** Writes claims of this instance and, as a collector, of others. */
  readonly batcher: WriteBatcher;
  readonly shares: ShareLoop;
  readonly log: EventLog;
  /** Whether this instance may not know the whole fleet yet. */
  readonly isYoung: () => boolean;
  /** Whether a stop was asked for. */
  leaving: boolean;
}

/** Injection token of the context. */
export const CONTEXT = Symbol('InstanceContext');
