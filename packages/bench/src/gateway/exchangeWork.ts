import type { GatewayRouter, PeerUpdate } from '@jujubecroft/decisions';
import type { InstanceId } from '@jujubecroft/types';

import type { ReplayExchange } from './replayShapes.js';

/** What one instance tells the others. */
interface Told {
  readonly instance: InstanceId;
  readonly work: PeerUpdate;
}

/** How a round of exchanges goes. */
export interface ExchangeRound {
  readonly how: ReplayExchange;
  readonly random: () => number;
  /** Does something some milliseconds later. */
  readonly after: (ms: number, run: () => void) => void;
}

function workOf({
  board,
  ownReplicaUses: ownUses,
  loadReports: heardReports,
}: GatewayRouter): Told {
  return {
    instance: board.instance,
    work: {
      uses: ownUses,
      demands: board.demand.own,
      reports: heardReports,
      lengths: board.lengths.own,
    },
  };
}

function tellEveryone(
  routers: readonly GatewayRouter[],
  told: readonly Told[],
): void {
  routers.forEach(router => {
    told
      .filter(({ instance }) => instance !== router.board.instance)
      .forEach(({ instance, work }) => {
        router.onPeerUpdate(instance, work);
      });
  });
}

function tellFew(
  routers: readonly GatewayRouter[],
  told: readonly Told[],
  fanout: number,
  random: () => number,
): void {
  routers.forEach((router, caller) => {
    Array.from({ length: fanout }).forEach(() => {
      const drawn = Math.floor(random() * (routers.length - 1));
      const called = drawn >= caller ? drawn + 1 : drawn;
      const [own, other] = [told[caller], told[called]];
      if (own && other) {
        router.onPeerUpdate(other.instance, other.work);
        routers[called]?.onPeerUpdate(own.instance, own.work);
      }
    });
  });
}

/**
 * Lets instances tell each other once what they run and have heard.
 *
 * @param routers - of all instances
 * @param round - how they do
 */
export function exchangeWork(
  routers: readonly GatewayRouter[],
  { how, random, after }: ExchangeRound,
): void {
  const told = routers.map(workOf);
  if (how.kind === 'few') {
    tellFew(routers, told, how.fanout, random);
    return;
  }
  after(how.delayMs, () => {
    tellEveryone(routers, told);
  });
}
