import type { ReplicaChanges } from '@jujubecroft/decisions';
import {
  applyLimitReports,
  applySpeedReports,
  createAllSpeedReports,
  createLimitReports,
  createSpeedReports,
} from '@jujubecroft/decisions';
import type { proto } from '@jujubecroft/operator/peers';
import {
  fromHeartbeatMessage,
  toHeartbeatMessage,
} from '@jujubecroft/operator/peers';
import type { InstanceId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import type { GatewayContext } from '../GatewayContext.js';
import type { ConfigurationFields } from './configurationMessage.js';
import {
  fromConfigurationFields,
  NO_CONFIGURATION,
  toChangesFields,
  toWholeFields,
} from './configurationMessage.js';
import { fromCrashFields, toCrashFields } from './crashMessage.js';
import { applyDutyFields, toDutyFields } from './dutyMessage.js';
import type { FleetView } from './FleetView.js';
import {
  fromLimits,
  fromStoreTime,
  fromReplicaFields,
  toPeerUpdate,
  toDemands,
  toLimits,
  toStoreTime,
  toReplicaFields,
  toReports,
  toUses,
} from './gatewayState.js';
import { fromSpeeds, toSpeeds } from './speedMessage.js';
import { NO_WORK_FIELDS, toWorkFields } from './workMessage.js';

/**
 * Maximum number of replica changes in one datagram. Each takes some 90 bytes, so that
 * a datagram stays far below the maximum size.
 */
const MAX_REPLICA_CHANGES = 24;
/**
 * Maximum length of the configuration changes in one datagram, in characters. The
 * change of one route takes some 400.
 */
const MAX_DATAGRAM_CONFIGURATION_CHARS = 4096;
/**
 * Maximum length of the configuration changes in the reply to a pull, in characters.
 * Above it the whole configuration is sent; compressed, that is rarely shorter than
 * this.
 */
const MAX_PULLED_CONFIGURATION_CHARS = 16_384;
/** Age up to which configuration changes are announced, in milliseconds. */
const RECENT_CHANGE_MS = 1000;

/**
 * How an instance gets changes that it lacks: from the answer to a probe, or by a pull.
 */
export type CatchUpMethod = 'probe' | 'pull';

/** What a datagram is sent for. */
export interface DatagramPurpose {
  /** Number of this probe; 0 if the datagram is no probe, so that it needs no answer. */
  readonly question: number;
  /** Number of the probe that the datagram answers; 0 if it is no answer. */
  readonly answerTo: number;
  /**
   * Whether the datagram, and the answer to it, leave out the load of the instances.
   */
  readonly viewOnly: boolean;
}

type LoadFields = Pick<
  proto.GatewayState,
  'demands' | 'reports' | 'speeds' | 'uses' | 'work' | 'workAsOfMs'
>;

/** Load fields of a message that carries the view only. */
const NO_LOAD_FIELDS: LoadFields = {
  demands: [],
  reports: [],
  speeds: [],
  uses: [],
  ...NO_WORK_FIELDS,
};

/** Versions up to which an instance's view is complete. */
export interface KnownVersions {
  /** Store version up to which the replicas are known; 0 before the first read. */
  readonly replicas: number;
  /** Version of the configuration; 0 before the first. */
  readonly configuration: number;
}

/** A datagram that neither is a probe nor answers one. */
export const ANNOUNCEMENT: DatagramPurpose = {
  question: 0,
  answerTo: 0,
  viewOnly: false,
};

/** Builds the messages to peers, and applies those that they send. */
export class PeerState {
  /**
   * @param context - context of the instance
   * @param view - applies configuration and replica changes
   * @param onAhead - called with the address of a peer that has changes which its
   *   message doesn't contain, and with the way to get them
   * @param onUrgentChange - called when other peers should learn of a change soon
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly view: FleetView,
    private readonly onAhead: (address: string, method: CatchUpMethod) => void,
    private readonly onUrgentChange: () => void,
  ) {}

  /** Versions that this instance knows. */
  get knownVersions(): KnownVersions {
    const { replicas, table } = this.context.router.board;
    return {
      replicas: replicas.version,
      configuration: table?.cfg.version ?? 0,
    };
  }

  /**
   * Builds a datagram, with as many changes as fit.
   *
   * @param purpose - probe, answer or announcement
   * @param known - versions that the recipient knows, after which changes are included;
   *   null if they are unknown, to include the newest changes
   */
  buildDatagram(
    purpose: DatagramPurpose,
    known: KnownVersions | null,
  ): proto.GatewayState {
    const { replicas, configurations } = this.context.router.board;
    return this.#buildMessage(
      purpose,
      known
        ? replicas.limitedChangesSince(known.replicas, MAX_REPLICA_CHANGES)
        : replicas.newestChanges(MAX_REPLICA_CHANGES),
      toChangesFields(
        known
          ? configurations.since(known.configuration)
          : configurations.recentChanges(RECENT_CHANGE_MS),
        MAX_DATAGRAM_CONFIGURATION_CHARS,
      ),
    );
  }

  /**
   * Builds a datagram with usage counts, and without load, replicas or configuration.
   */
  buildUsageDatagram(): proto.GatewayState {
    const { board } = this.context.router;
    return {
      ...this.buildDatagram(
        { ...ANNOUNCEMENT, viewOnly: true },
        this.knownVersions,
      ),
      ...toDutyFields(board.duties, true),
    };
  }

  /**
   * Builds the reply to a pull, which may be too large for a datagram.
   *
   * @param request - state of the instance that pulls
   * @returns a state with everything that the instance lacks
   */
  buildPullReply(request: proto.GatewayState): proto.GatewayState {
    const { board } = this.context.router;
    const message = this.#buildMessage(
      ANNOUNCEMENT,
      board.replicas.changesSince(request.replicasVersion),
      this.#missingConfiguration(request.configurationVersion),
    );
    return { ...message, speeds: toSpeeds(createAllSpeedReports(board)) };
  }

  /**
   * @returns the changes after a version; the whole configuration if they are too many
   */
  #missingConfiguration(knownVersion: number): ConfigurationFields {
    const { table, configurations } = this.context.router.board;
    if (!table || table.cfg.version <= knownVersion) {
      return NO_CONFIGURATION;
    }
    const changes = toChangesFields(
      configurations.since(knownVersion),
      MAX_PULLED_CONFIGURATION_CHARS,
    );
    return changes === NO_CONFIGURATION ? toWholeFields(table.cfg) : changes;
  }

  #buildMessage(
    purpose: DatagramPurpose,
    changes: ReplicaChanges,
    configuration: ConfigurationFields,
  ): proto.GatewayState {
    const { router, membership } = this.context;
    const { board } = router;
    const version = board.table?.cfg.version ?? 0;
    const heartbeat = membership.message(
      { revision: version, inFlight: router.inFlight },
      !purpose.viewOnly,
    );
    return {
      heartbeat: toHeartbeatMessage(heartbeat),
      configurationVersion: version,
      storeMs: toStoreTime(board.storeClock.latestMs),
      configurationAsOfMs: toStoreTime(board.configurationAsOfMs),
      ...(purpose.viewOnly ? NO_LOAD_FIELDS : this.#loadFields),
      ...configuration,
      ...toReplicaFields(changes),
      replicasChangedAt: board.replicas.changedAt,
      ...toCrashFields(board.crashes.news),
      limits: toLimits(createLimitReports(board)),
      lostPaths: board.paths.lostCount,
      streams: undefined,
      ...toDutyFields(board.duties, false),
      ...purpose,
    };
  }

  /** Load of this instance, and the load reports that it has from backend servers. */
  get #loadFields(): LoadFields {
    const { router } = this.context;
    const { demand, lengths, shares } = router.board;
    return {
      uses: toUses(router.ownReplicaUses),
      demands: toDemands(demand.own, route => lengths.ownLength(route)),
      reports: toReports(router.loadReports),
      speeds: toSpeeds(createSpeedReports(router.board)),
      ...toWorkFields(shares?.report ?? null),
    };
  }

  /**
   * Applies a message of a peer, and requests changes that the message left out.
   *
   * @param state - the message
   * @param askedMs - local time at which the message was requested, in milliseconds;
   *   null if it wasn't, so that its time in transit is unknown
   */
  receive(state: proto.GatewayState, askedMs: number | null): void {
    const { heartbeat } = state;
    if (!heartbeat) {
      return;
    }
    const { membership, router } = this.context;
    membership.onMessage(fromHeartbeatMessage(heartbeat));
    const peer = brand<InstanceId>(heartbeat.instance);
    if (!state.viewOnly) {
      router.onPeerUpdate(peer, toPeerUpdate(state));
    }
    router.board.relays.onReport(peer, state.lostPaths);
    router.board.crashes.onPeer(fromCrashFields(state));
    applyLimitReports(router.board, fromLimits(state.limits));
    this.#receiveDuties(state, peer);
    this.#receiveStoreTimes(state, peer, askedMs);
    this.#receiveConfiguration(state, peer);
    this.#receiveReplicas(state, peer);
    applySpeedReports(router.board, fromSpeeds(state.speeds));
    this.context.lease.onViewUpdated();
  }

  #receiveDuties(state: proto.GatewayState, instance: InstanceId): void {
    const { duties } = this.context.router.board;
    if (!duties) {
      return;
    }
    const hasChanged = applyDutyFields(duties, state, {
      instance,
      incarnation: state.heartbeat?.incarnation ?? 0,
      storeMs: fromStoreTime(state.storeMs),
    });
    if (hasChanged) {
      this.onUrgentChange();
    }
  }

  /**
   * Applies the peer's reading of the store's clock and the age of its view.
   *
   * The peer's view may be from a time that lies in the future by this instance's
   * reading of the store's clock. This process was then suspended without noticing, so
   * its reading is wrong and is discarded.
   */
  #receiveStoreTimes(
    state: proto.GatewayState,
    peer: InstanceId,
    askedMs: number | null,
  ): void {
    const { board } = this.context.router;
    const { storeClock } = board;
    const asOfMs = fromStoreTime(
      Math.min(state.configurationAsOfMs, state.replicasAsOfMs),
    );
    if (storeClock.isAhead(asOfMs)) {
      storeClock.forget();
    }
    if (askedMs !== null && state.storeMs >= 0) {
      storeClock.read(state.storeMs, askedMs);
    }
    board.peersAsOfMs = Math.max(board.peersAsOfMs, asOfMs);
    if (askedMs !== null && asOfMs > -Infinity) {
      board.outage.onPeerAnswer(peer, askedMs);
    }
  }

  #receiveConfiguration(state: proto.GatewayState, peer: InstanceId): void {
    const { board } = this.context.router;
    const known = board.table?.cfg ?? null;
    const asOfMs = fromStoreTime(state.configurationAsOfMs);
    const cfg = fromConfigurationFields(state, known);
    if (cfg?.version === state.configurationVersion) {
      this.view.applyConfiguration(cfg, asOfMs, peer);
      return;
    }
    const version = known?.version ?? 0;
    if (state.configurationVersion === version) {
      this.view.applyConfiguration(null, asOfMs, peer);
    }
    if (state.configurationVersion > version) {
      // An answer contains all changes that fit into a datagram; pull if it isn't
      // enough.
      const needsPull = state.answerTo !== 0 || !known;
      this.#catchUp(state, needsPull ? 'pull' : 'probe');
    }
  }

  #receiveReplicas(state: proto.GatewayState, peer: InstanceId): void {
    const { replicas } = this.context.router.board;
    const { asOfMs, version: known } = replicas;
    if (state.replicasVersion < known) {
      return;
    }
    if (known > 0 && known >= state.replicasChangedAt) {
      // Nothing has changed since, so the known replicas are as current as the peer's.
      replicas.confirm(
        state.replicasVersion,
        fromStoreTime(state.replicasAsOfMs),
      );
      this.view.noteConfirmation(asOfMs, peer);
      return;
    }
    const changes = fromReplicaFields(state);
    if (replicas.followsWithoutGap(changes)) {
      const merged = replicas.merge(changes);
      this.view.noteConfirmation(asOfMs, peer);
      if (changes.complete) {
        this.view.applyAllReplicas(merged, peer, asOfMs);
      } else {
        this.view.applyReplicaChanges(merged, peer);
      }
      return;
    }
    // An answer contains all changes that fit into a datagram; pull if it isn't enough.
    this.#catchUp(state, state.answerTo === 0 ? 'probe' : 'pull');
  }

  #catchUp({ heartbeat }: proto.GatewayState, method: CatchUpMethod): void {
    const address = heartbeat?.peerAddress ?? '';
    if (address !== '') {
      this.onAhead(address, method);
    }
  }
}
