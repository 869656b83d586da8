import { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { InstanceId, Replica } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import { EndConfirmation } from '../../src/forward/EndConfirmation.js';
import type { EndConfirmationOptions } from '../../src/forward/EndConfirmation.js';

const REPLICA = { id: 's-1', address: 'a:1', bornMs: 1 } as unknown as Replica;
/** Number of checks of a server that neither opens nor refuses a connection. */
const MAX_CHECKS = 6;
const RELAYED = { peer: brand<InstanceId>('peer'), tunnel: 't-1' };

interface Servers {
  readonly isReplicaAlive: boolean;
  readonly isPeerAlive: boolean;
  /** Number of connections that end with an error of that code before others. */
  readonly failures?: readonly [count: number, code: string];
}

/** Error of a connection that does not open, as the system reports it. */
function connectError(code: string): Error {
  return Object.assign(new Error(code), {
    code,
    syscall: 'connect',
    address: 'a',
  });
}

/** Counts the checks of a confirmation whose servers live or not. */
function confirmationWith({
  isReplicaAlive,
  isPeerAlive,
  failures: [failures, failureCode] = [0, ''],
}: Servers): {
  readonly confirmation: EndConfirmation;
  readonly checks: string[];
} {
  const checks: string[] = [];
  const open = (way: string, isOpen: boolean): Promise<Socket> => {
    checks.push(way);
    if (checks.length <= failures) {
      return Promise.reject(connectError(failureCode));
    }
    return isOpen
      ? Promise.resolve(new Socket())
      : Promise.reject(connectError('ECONNREFUSED'));
  };
  const options: EndConfirmationOptions = {
    timers: {
      after: () => () => undefined,
      every: () => () => undefined,
      // Connections open or fail in the same turn, before the timeout of a check.
      sleep: () => nextTurn(),
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

  // Guards against a whole answer that is cut since a check found no way to a sound replica.
  it('confirms the end of a connection whose replica was silent for a while', async t => {
    for (const code of ['ETIMEDOUT', 'EMFILE', 'EHOSTUNREACH']) {
      const { confirmation, checks } = confirmationWith({
        isReplicaAlive: true,
        isPeerAlive: true,
        failures: [MAX_CHECKS - 1, code],
      });
      t.true(await confirmation.confirm(REPLICA, null));
      t.is(checks.length, MAX_CHECKS);
      const relayed = confirmationWith({
        isReplicaAlive: true,
        isPeerAlive: true,
        failures: [1, code],
      });
      t.true(await relayed.confirmation.confirm(REPLICA, RELAYED));
    }
  });

  // Guards against a whole answer that is cut since its replica accepts no further connection.
  it('confirms the end of a connection whose replica resets others', async t => {
    const { confirmation, checks } = confirmationWith({
      isReplicaAlive: true,
      isPeerAlive: true,
      failures: [1, 'ECONNRESET'],
    });
    t.true(await confirmation.confirm(REPLICA, null));
    t.is(checks.length, 1);
  });

  // Guards against an answer that looks complete although nothing was heard of its replica.
  it('does not confirm the end of a connection whose replica stays silent', async t => {
    const { confirmation, checks } = confirmationWith({
      isReplicaAlive: true,
      isPeerAlive: true,
      failures: [MAX_CHECKS, 'ETIMEDOUT'],
    });
    t.false(await confirmation.confirm(REPLICA, null));
    t.is(checks.length, MAX_CHECKS);
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
