import type { GatewayRouter, PeerUpdate } from '@jujubecroft/decisions';
import type { InstanceId } from '@jujubecroft/types';

import type { ReplayExchange } from './replayShapes.js';

/** The report of one instance on its work. */
interface InstanceWork {
  readonly instance: InstanceId;
  readonly work: PeerUpdate;
}

/** How one round of reports is exchanged. */
export interface ExchangeRound {
  readonly exchange: ReplayExchange;
  readonly random: () => number;
  /** Runs a callback after a delay in milliseconds. */
  readonly after: (ms: number, run: () => void) => void;
}

function workOf({
  board,
  ownReplicaUses,
  loadReports,
}: GatewayRouter): InstanceWork {
  return {
    instance: board.instance,
    work: {
      uses: ownReplicaUses,
      demands: board.demand.own,
      reports: loadReports,
      lengths: board.lengths.own,
      ...(board.shares ? { work: board.shares.report } : {}),
    },
  };
}

function broadcastWork(
  routers: readonly GatewayRouter[],
  reports: readonly InstanceWork[],
): void {
  routers.forEach(router => {
    reports
      .filter(({ instance }) => instance !== router.board.instance)
      .forEach(({ instance, work }) => {
        router.onPeerUpdate(instance, work);
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
        router.onPeerUpdate(other.instance, other.work);
        routers[callee]?.onPeerUpdate(own.instance, own.work);
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
