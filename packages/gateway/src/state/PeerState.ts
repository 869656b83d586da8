import type { ReplicaChanges } from '@jujubecroft/decisions';
import { limitNews, takeLimits } from '@jujubecroft/decisions';
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
import { takeDutyFields, toDutyFields } from './dutyMessage.js';
import type { FleetView } from './FleetView.js';
import {
  fromLimits,
  fromMoment,
  fromReplicaFields,
  fromWork,
  toDemands,
  toLimits,
  toMoment,
  toReplicaFields,
  toReports,
  toUses,
} from './gatewayState.js';

/**
 * Changes of replicas that a datagram carries, at most. Some 90 bytes each, so that
 * a datagram stays far below what the network takes.
 */
const MAX_CHANGES = 24;
/** The same for changes of the configuration; one of a route has some 400 characters. */
const MAX_CONFIGURATION_CHARS = 4096;
/** The same for an answer to a pull. Compressed, a whole one is hardly ever less. */
const MAX_PULLED_CHARS = 16_384;
/** Age up to which changes of the configuration are news, in milliseconds. */
const NEWS_MS = 1000;

/** How an instance catches up with one that knows more. */
export type CatchUp = 'ask' | 'pull';

/** What a datagram is about beside the state. */
export interface DatagramPurpose {
  /** Number of the question that is asked; 0 for none. */
  readonly question: number;
  /** Number of the question that is answered; 0 for none. */
  readonly answerTo: number;
  /** Whether it is about the view alone, and not about what the instances run. */
  readonly viewOnly: boolean;
}

type WorkFields = Pick<proto.GatewayState, 'demands' | 'reports' | 'uses'>;

/** Fields of a message that is about the view alone. */
const NO_WORK: WorkFields = { demands: [], reports: [], uses: [] };

/** Versions that an instance knows. */
export interface KnownVersions {
  /** Of the store, that its view of replicas is complete for. */
  readonly replicas: number;
  readonly configuration: number;
}

/** A datagram that tells, without a question or an answer. */
export const TELLING: DatagramPurpose = {
  question: 0,
  answerTo: 0,
  viewOnly: false,
};

/** What one instance says to others, and takes in of what they say. */
export class PeerState {
  /**
   * @param context - of the instance
   * @param view - takes in configuration and replicas
   * @param onAhead - told of a peer that knows more than it said, and how to
   *   catch up with it
   * @param onNews - told of news that others should hear soon
   */
  constructor(
    private readonly context: GatewayContext,
    private readonly view: FleetView,
    private readonly onAhead: (address: string, how: CatchUp) => void,
    private readonly onNews: () => void,
  ) {}

  /** What this instance knows. */
  get known(): KnownVersions {
    const { replicas, table } = this.context.router.board;
    return {
      replicas: replicas.version,
      configuration: table?.cfg.version ?? 0,
    };
  }

  /**
   * What this instance says in a datagram.
   *
   * @param purpose - question, answer or neither
   * @param theirs - what the other knows; null where that isn't known, and the newest
   *   changes are told
   */
  tell(
    purpose: DatagramPurpose,
    theirs: KnownVersions | null,
  ): proto.GatewayState {
    const { replicas, configurations } = this.context.router.board;
    return this.#state(
      purpose,
      theirs
        ? replicas.changesWithin(theirs.replicas, MAX_CHANGES)
        : replicas.newestChanges(MAX_CHANGES),
      toChangesFields(
        theirs
          ? configurations.since(theirs.configuration)
          : configurations.newest(NEWS_MS),
        MAX_CONFIGURATION_CHARS,
      ),
    );
  }

  /** Tells what this instance counted, and little else. */
  tellUsage(): proto.GatewayState {
    const { board } = this.context.router;
    return {
      ...this.tell({ ...TELLING, viewOnly: true }, this.known),
      ...toDutyFields(board.duties, true),
    };
  }

  /** All that another instance lacks, which may be too much for a datagram. */
  tellAll(theirs: proto.GatewayState): proto.GatewayState {
    const { replicas } = this.context.router.board;
    return this.#state(
      TELLING,
      replicas.changesSince(theirs.replicasVersion),
      this.#allOfConfiguration(theirs.configurationVersion),
    );
  }

  #allOfConfiguration(theirVersion: number): ConfigurationFields {
    const { table, configurations } = this.context.router.board;
    if (!table || table.cfg.version <= theirVersion) {
      return NO_CONFIGURATION;
    }
    const changes = toChangesFields(
      configurations.since(theirVersion),
      MAX_PULLED_CHARS,
    );
    return changes === NO_CONFIGURATION ? toWholeFields(table.cfg) : changes;
  }

  #state(
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
      storeMs: toMoment(board.storeClock.latestMs),
      configurationAsOfMs: toMoment(board.configurationAsOfMs),
      ...(purpose.viewOnly ? NO_WORK : this.#work),
      ...configuration,
      ...toReplicaFields(changes),
      replicasChangedAt: board.replicas.changedAt,
      ...toCrashFields(board.crashes.news),
      limits: toLimits(limitNews(board)),
      ...toDutyFields(board.duties, false),
      ...purpose,
    };
  }

  /** What this instance runs and has heard. */
  get #work(): WorkFields {
    const { router } = this.context;
    const { demand, lengths } = router.board;
    return {
      uses: toUses(router.ownUses),
      demands: toDemands(demand.own, route => lengths.seen(route)),
      reports: toReports(router.heardReports),
    };
  }

  /**
   * Takes in what another instance says, and asks for what it didn't send.
   *
   * @param state - of the other
   * @param askedMs - local time at which this instance asked for it; null where it
   *   didn't, and nobody knows how long it was on its way
   */
  take(state: proto.GatewayState, askedMs: number | null): void {
    const { heartbeat } = state;
    if (!heartbeat) {
      return;
    }
    const { membership, router } = this.context;
    membership.onMessage(fromHeartbeatMessage(heartbeat));
    const peer = brand<InstanceId>(heartbeat.instance);
    if (!state.viewOnly) {
      router.onPeerWork(peer, fromWork(state));
    }
    router.board.crashes.onPeer(fromCrashFields(state));
    takeLimits(router.board, fromLimits(state.limits));
    this.#takeDuties(state, peer);
    this.#takeMoments(state, askedMs);
    this.#takeConfiguration(state, peer);
    this.#takeReplicas(state, peer);
    this.context.lease.look();
  }

  #takeDuties(state: proto.GatewayState, instance: InstanceId): void {
    const { duties } = this.context.router.board;
    if (!duties) {
      return;
    }
    const isNews = takeDutyFields(duties, state, {
      instance,
      incarnation: state.heartbeat?.incarnation ?? 0,
      storeMs: fromMoment(state.storeMs),
    });
    if (isNews) {
      this.onNews();
    }
  }

  /**
   * Takes in what the other knows of the store's clock, and how current its view is.
   *
   * A view from a moment that lies ahead, by what this instance knows of that clock,
   * shows that it knows wrongly: it stood still without noticing.
   */
  #takeMoments(state: proto.GatewayState, askedMs: number | null): void {
    const { board } = this.context.router;
    const { storeClock } = board;
    const asOfMs = fromMoment(
      Math.min(state.configurationAsOfMs, state.replicasAsOfMs),
    );
    if (storeClock.isAhead(asOfMs)) {
      storeClock.forget();
    }
    if (askedMs !== null && state.storeMs >= 0) {
      storeClock.read(state.storeMs, askedMs);
    }
    board.othersAsOfMs = Math.max(board.othersAsOfMs, asOfMs);
  }

  #takeConfiguration(state: proto.GatewayState, peer: InstanceId): void {
    const { board } = this.context.router;
    const known = board.table?.cfg ?? null;
    const asOfMs = fromMoment(state.configurationAsOfMs);
    const told = fromConfigurationFields(state, known);
    if (told?.version === state.configurationVersion) {
      this.view.onConfiguration(told, asOfMs, peer);
      return;
    }
    const version = known?.version ?? 0;
    if (state.configurationVersion === version) {
      this.view.onConfiguration(null, asOfMs, peer);
    }
    if (state.configurationVersion > version) {
      // An answer holds the changes, if a datagram can.
      const isAnswer = state.answerTo !== 0 || !known;
      this.#catchUp(state, isAnswer ? 'pull' : 'ask');
    }
  }

  #takeReplicas(state: proto.GatewayState, peer: InstanceId): void {
    const { replicas } = this.context.router.board;
    const known = replicas.version;
    if (state.replicasVersion < known) {
      return;
    }
    if (known > 0 && known >= state.replicasChangedAt) {
      // Nothing has changed since; only the view is known to be younger.
      replicas.confirm(state.replicasVersion, fromMoment(state.replicasAsOfMs));
      return;
    }
    const told = fromReplicaFields(state);
    if (replicas.connects(told)) {
      this.view.onReplicas(replicas.merge(told), peer);
      return;
    }
    // An answer holds what was lacking, if a datagram can.
    this.#catchUp(state, state.answerTo === 0 ? 'ask' : 'pull');
  }

  #catchUp({ heartbeat }: proto.GatewayState, how: CatchUp): void {
    const address = heartbeat?.peerAddress ?? '';
    if (address !== '') {
      this.onAhead(address, how);
    }
  }
}
