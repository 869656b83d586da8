import { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { InstanceId, Replica } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import { EndConfirmation } from '../../src/forward/EndConfirmation.js';
import type { EndConfirmationOptions } from '../../src/forward/EndConfirmation.js';

const REPLICA = { id: 's-1', address: 'a:1', bornMs: 1 } as unknown as Replica;
const RELAYED = { peer: brand<InstanceId>('peer'), tunnel: 't-1' };

interface Servers {
  readonly isReplicaAlive: boolean;
  readonly isPeerAlive: boolean;
}

/** Counts the checks of a confirmation whose servers live or not. */
function confirmationWith({ isReplicaAlive, isPeerAlive }: Servers): {
  readonly confirmation: EndConfirmation;
  readonly checks: string[];
} {
  const checks: string[] = [];
  const open = (way: string, isOpen: boolean): Promise<Socket> => {
    checks.push(way);
    return isOpen
      ? Promise.resolve(new Socket())
      : Promise.reject(new Error('refused'));
  };
  const options: EndConfirmationOptions = {
    timers: {
      after: () => () => undefined,
      every: () => () => undefined,
      // Checks settle long before their timeout.
      sleep: ms => (ms >= 400 ? new Promise(() => undefined) : nextTurn()),
      nextTurn: () => nextTurn(),
    },
    connector: { connect: () => open('direct', isReplicaAlive) },
    relay: {
      connectThrough: peer => open(peer, isPeerAlive && isReplicaAlive),
    },
  };
  return { confirmation: new EndConfirmation(options), checks };
}

describe('EndConfirmation', ({ it }) => {
  it('confirms the end of a connection whose replica runs on', async t => {
    const { confirmation } = confirmationWith({
      isReplicaAlive: true,
      isPeerAlive: true,
    });
    t.true(await confirmation.confirm(REPLICA, null));
    t.true(await confirmation.confirm(REPLICA, RELAYED));
  });

  // Guards against an end that a dead process left to the operating system.
  it('does not confirm the end of a connection whose replica died', async t => {
    const { confirmation } = confirmationWith({
      isReplicaAlive: false,
      isPeerAlive: true,
    });
    t.false(await confirmation.confirm(REPLICA, null));
  });

  // Guards against an answer that ends with the instance that relayed it, and looks complete.
  it('does not confirm the end of a connection whose relaying instance died', async t => {
    const { confirmation, checks } = confirmationWith({
      isReplicaAlive: true,
      isPeerAlive: false,
    });
    t.false(await confirmation.confirm(REPLICA, RELAYED));
    t.deepEqual(checks, ['peer']);
  });

  it('checks a replica once for many ends at the same time', async t => {
    const { confirmation, checks } = confirmationWith({
      isReplicaAlive: true,
      isPeerAlive: true,
    });
    const all = Array.from({ length: 20 }, () =>
      confirmation.confirm(REPLICA, null),
    );
    t.true((await Promise.all(all)).every(Boolean));
    t.is(checks.length, 1);
  });
});
