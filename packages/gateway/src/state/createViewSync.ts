import { encodeState } from '@jujubecroft/operator/peers';
import type { CallerLimits } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { DiscoveryStore } from '../ports/DiscoveryStore.js';
import type { PeerLink } from '../ports/PeerLink.js';
import { FleetView } from './FleetView.js';
import { PeerLoop } from './PeerLoop.js';
import { StoreReader } from './StoreReader.js';
import { toStreamDatagram } from '../streams/originMessage.js';

/** The parts that keep the view of an instance current. */
export interface ViewSync {
  readonly view: FleetView;
  readonly reader: StoreReader;
  readonly peers: PeerLoop;
}

/** Where the view of an instance comes from. */
export interface ViewSources {
  readonly store: DiscoveryStore;
  readonly link: PeerLink;
}

/**
 * Creates and connects the parts that keep the view of an instance current.
 *
 * @param context - context of the instance
 * @param sources - the store and the link to other instances
 * @param onLimits - called with the caller limits of each new configuration
 * @returns the parts, not yet started
 */
export function createViewSync(
  context: GatewayContext,
  { store, link }: ViewSources,
  onLimits: (limits: CallerLimits) => void,
): ViewSync {
  const view = new FleetView(context, onLimits);
  const reader = new StoreReader(context, store, view);
  const peers = new PeerLoop(context, view, link);
  const { crashes, limits } = context.router.board;
  [crashes, limits].forEach(source => {
    source.onChange(() => {
      peers.spread();
    });
  });
  context.lease.setRenewal(() => {
    peers.probeReader();
    // Their answers show whether the store is unavailable to them, too.
    peers.probeRandomMembers();
    return reader.refresh();
  });
  context.streams.connect({
    send: (message, to) => {
      link.send(encodeState(toStreamDatagram(message)), to);
    },
    readReplicas: () => reader.confirmReplicas(),
    history: store.streamHistory,
    records: store.streamRecords,
  });
  return { view, reader, peers };
}
