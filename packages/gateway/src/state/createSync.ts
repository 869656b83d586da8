import type { CallerLimits } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { DiscoveryStore } from '../ports/DiscoveryStore.js';
import type { PeerLink } from '../ports/PeerLink.js';
import { FleetView } from './FleetView.js';
import { PeerLoop } from './PeerLoop.js';
import { StoreReader } from './StoreReader.js';

/** What keeps the view of an instance current. */
export interface ViewSync {
  readonly view: FleetView;
  readonly reader: StoreReader;
  readonly peers: PeerLoop;
}

/** What the view is kept current by. */
export interface ViewSources {
  readonly store: DiscoveryStore;
  readonly link: PeerLink;
}

/**
 * Creates what keeps the view of an instance current, not started yet.
 *
 * @param context - of the instance
 * @param sources - the store and the other instances
 * @param onLimits - told when a configuration changes what callers may send
 */
export function createSync(
  context: GatewayContext,
  { store, link }: ViewSources,
  onLimits: (limits: CallerLimits) => void,
): ViewSync {
  const view = new FleetView(context, onLimits);
  const reader = new StoreReader(context, store, view);
  const peers = new PeerLoop(context, view, link);
  const { crashes, limits } = context.router.board;
  [crashes, limits].forEach(source => {
    source.onNews(() => {
      peers.spread();
    });
  });
  context.lease.renewBy(() => {
    peers.askReader();
    return reader.refresh();
  });
  return { view, reader, peers };
}
