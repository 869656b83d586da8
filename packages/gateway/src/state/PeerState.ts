import type { proto } from '@jujubecroft/operator';
import {
  fromHeartbeatMessage,
  toHeartbeatMessage,
} from '@jujubecroft/operator';
import type { InstanceId, RoutingConfiguration } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { FleetView } from './FleetView.js';
import {
  finite,
  fromReplicaFields,
  fromWork,
  toDemands,
  toReplicaFields,
  toReports,
  toUses,
} from './gatewayState.js';

/** What one instance says to others, and takes in of what they say. */
export class PeerState {
  /**
   * @param context - of the instance
   * @param view - takes in configuration and replicas
   * @param onAhead - told of a peer that knows more than it said
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly view: FleetView,
    private readonly onAhead: (state: proto.GatewayState) => void,
  ) {}

  /**
   * @param theirs - state of the other side, where it is known
   * @returns what this instance says, with what the other side lacks
   */
  tell(theirs: proto.GatewayState | null): proto.GatewayState {
    const { router, membership, clock } = this.context;
    const { board } = router;
    const nowMs = clock();
    const version = board.table?.cfg.version ?? 0;
    const isAhead = theirs !== null && version > theirs.configurationVersion;
    const heartbeat = membership.message({
      revision: version,
      inFlight: router.inFlight,
    });
    const changes =
      theirs && theirs.replicasVersion < board.replicas.version
        ? board.replicas.changesSince(theirs.replicasVersion)
        : {
            version: board.replicas.version,
            ageMs: board.replicas.ageMs,
            complete: false,
            records: [],
          };
    return {
      heartbeat: toHeartbeatMessage(heartbeat),
      configurationVersion: version,
      configurationAgeMs: finite(nowMs - board.configurationAsOfMs),
      uses: toUses(router.ownUses),
      demands: toDemands(board.demand.own, route => board.lengths.seen(route)),
      reports: toReports(router.heardReports),
      configurationJson: isAhead ? JSON.stringify(board.table?.cfg) : '',
      ...toReplicaFields(changes, nowMs),
      replicasChangedAt: board.replicas.changedAt,
    };
  }

  /**
   * Takes in what another instance says, and asks for what it didn't send.
   *
   * @param state - of the other
   * @param isReply - whether it holds all that this instance lacks
   */
  take(state: proto.GatewayState, isReply: boolean): void {
    const { heartbeat } = state;
    if (!heartbeat) {
      return;
    }
    const { membership, router } = this.context;
    membership.onMessage(fromHeartbeatMessage(heartbeat));
    const peer = brand<InstanceId>(heartbeat.instance);
    router.onPeerWork(peer, fromWork(state));
    this.#takeConfiguration(state, peer);
    this.#takeReplicas(state, peer, isReply);
  }

  #takeConfiguration(state: proto.GatewayState, peer: InstanceId): void {
    const { board } = this.context.router;
    const known = board.table?.cfg.version ?? 0;
    if (state.configurationJson !== '') {
      const cfg = JSON.parse(state.configurationJson) as RoutingConfiguration;
      this.view.onConfiguration(cfg, state.configurationAgeMs, peer);
      return;
    }
    if (state.configurationVersion > known) {
      this.onAhead(state);
      return;
    }
    if (state.configurationVersion === known && board.table) {
      this.view.onConfiguration(null, state.configurationAgeMs, peer);
    }
  }

  #takeReplicas(
    state: proto.GatewayState,
    peer: InstanceId,
    isReply: boolean,
  ): void {
    const { router, clock } = this.context;
    const { replicas } = router.board;
    if (state.replicasVersion <= replicas.version) {
      return;
    }
    if (isReply) {
      const changes = replicas.merge(fromReplicaFields(state, clock()));
      this.view.onReplicas(changes, peer);
      return;
    }
    if (state.replicasChangedAt > replicas.version) {
      this.onAhead(state);
      return;
    }
    // Nothing has changed since; only the view is known to be younger.
    if (replicas.version > 0) {
      replicas.confirm(state.replicasVersion, state.replicasAgeMs);
    }
  }
}
