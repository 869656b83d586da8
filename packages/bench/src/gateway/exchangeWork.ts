import { applySpeedReports, createSpeedReports } from '@jujubecroft/decisions';
import type {
  GatewayRouter,
  PeerUpdate,
  SpeedReport,
} from '@jujubecroft/decisions';
import type { InstanceId } from '@jujubecroft/types';

import type { ReplayExchange } from './replayShapes.js';

/** The report of one instance on its work. */
interface InstanceWork {
  readonly instance: InstanceId;
  readonly work: PeerUpdate;
  readonly speeds: readonly SpeedReport[];
}

/** How one round of reports is exchanged. */
export interface ExchangeRound {
  readonly exchange: ReplayExchange;
  readonly random: () => number;
  /** Runs a callback after a delay in milliseconds. */
  readonly after: (ms: number, run: () => void) => void;
}

function workOf(router: GatewayRouter): InstanceWork {
  const { board, ownReplicaUses, loadReports } = router;
  return {
    instance: board.instance,
    work: {
      uses: ownReplicaUses,
      demands: board.demand.own,
      reports: loadReports,
      lengths: board.lengths.own,
      ...(board.shares ? { work: board.shares.report } : {}),
    },
    speeds: createSpeedReports(board),
  };
}

function receive(
  router: GatewayRouter | undefined,
  { instance, work, speeds }: InstanceWork,
): void {
  if (router) {
    router.onPeerUpdate(instance, work);
    applySpeedReports(router.board, speeds);
  }
}

function broadcastWork(
  routers: readonly GatewayRouter[],
  reports: readonly InstanceWork[],
): void {
  routers.forEach(router => {
    reports
      .filter(({ instance }) => instance !== router.board.instance)
      .forEach(report => {
        receive(router, report);
      });
  });
}

function gossipWork(
  routers: readonly GatewayRouter[],
  reports: readonly InstanceWork[],
  fanout: number,
  random: () => number,
): void {
  routers.forEach((router, caller) => {
    Array.from({ length: fanout }).forEach(() => {
      const index = Math.floor(random() * (routers.length - 1));
      const callee = index >= caller ? index + 1 : index;
      const [own, other] = [reports[caller], reports[callee]];
      if (own && other) {
        receive(router, other);
        receive(routers[callee], own);
      }
    });
  });
}

/**
 * Exchanges reports on running work between instances once.
 *
 * @param routers - routers of all instances
 * @param round - pattern of the exchange, with randomness and timer
 */
export function exchangeWork(
  routers: readonly GatewayRouter[],
  { exchange, random, after }: ExchangeRound,
): void {
  const reports = routers.map(workOf);
  if (exchange.kind === 'few') {
    gossipWork(routers, reports, exchange.fanout, random);
    return;
  }
  after(exchange.delayMs, () => {
    broadcastWork(routers, reports);
  });
}
