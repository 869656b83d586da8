import * as fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import type {
  ClientConnection,
  ClientLimitReason,
} from '../src/clients/ClientAccount.js';
import { ClientAccount } from '../src/clients/ClientAccount.js';
import type { ClientLimits } from '../src/clients/ClientLimits.js';

const LIMITS: ClientLimits = {
  maxConnections: 4,
  maxRequestsAhead: 3,
  maxHeldBytes: 100,
  maxUnreadMs: 1000,
  countsBodies: false,
};

/** A connection whose state a test sets. */
class FakeConnection implements ClientConnection {
  requests = 0;
  isWorking = false;
  wasServed = true;
  progressMs = 0;
  heldBytes = 0;
  isClosed = false;

  constructor(
    readonly address: string,
    private readonly account: ClientAccount<FakeConnection>,
  ) {}

  hold(bytes: number): void {
    if (!this.isClosed) {
      const change = bytes - this.heldBytes;
      this.heldBytes = bytes;
      this.account.charge(change);
    }
  }

  close(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      const { heldBytes } = this;
      this.heldBytes = 0;
      this.account.charge(-heldBytes);
      this.account.remove(this);
    }
  }
}

interface Fixture {
  readonly account: ClientAccount<FakeConnection>;
  readonly closed: (readonly [FakeConnection, ClientLimitReason])[];
  readonly open: (
    address: string,
    state?: Partial<FakeConnection>,
  ) => FakeConnection;
}

function createFixture(): Fixture {
  const closed: (readonly [FakeConnection, ClientLimitReason])[] = [];
  const account = new ClientAccount<FakeConnection>(LIMITS, (...args) => {
    closed.push(args);
  });
  const open: Fixture['open'] = (address, state = {}) => {
    const connection = Object.assign(
      new FakeConnection(address, account),
      state,
    );
    account.add(connection);
    return connection;
  };
  return { account, closed, open };
}

describe('ClientAccount', ({ describe: describeIn }) => {
  describeIn('if there are too many connections', ({ it }) => {
    it('closes an idle one of the address that has most', t => {
      const { closed, open } = createFixture();
      open('a', { progressMs: 1 });
      const oldest = open('b', { progressMs: 2 });
      open('b', { progressMs: 3 });
      open('b', { progressMs: 4 });
      open('a', { progressMs: 5 });
      t.deepEqual(closed, [[oldest, 'connections']]);
    });

    it('closes one that was never served before one that was', t => {
      const { closed, open } = createFixture();
      open('a', { progressMs: 1 });
      open('a', { progressMs: 2 });
      const unserved = open('a', { progressMs: 3, wasServed: false });
      open('a', { progressMs: 4 });
      open('b');
      t.deepEqual(closed, [[unserved, 'connections']]);
    });

    it('closes the new one if all others have a request in progress', t => {
      const { account, closed, open } = createFixture();
      Array.from({ length: LIMITS.maxConnections }).forEach(() => {
        open('a', { isWorking: true });
      });
      const last = open('b');
      t.deepEqual(closed, [[last, 'connections']]);
      t.is(account.count, LIMITS.maxConnections);
    });
  });

  describeIn('if its clients hold too much memory', ({ it }) => {
    it('closes the connection that holds most', t => {
      const { account, closed, open } = createFixture();
      const large = open('a');
      const small = open('b');
      large.hold(90);
      small.hold(20);
      t.deepEqual(closed, [[large, 'memory']]);
      t.is(account.heldBytes, 20);
    });

    it('lets a connection read one request at a time before', t => {
      const { account, open } = createFixture();
      t.is(account.requestsAhead, LIMITS.maxRequestsAhead);
      open('a').hold(60);
      t.is(account.requestsAhead, 1);
    });
  });

  describeIn('whatever its clients do', ({ it }) => {
    const action = fc.record({
      client: fc.nat(9),
      address: fc.constantFrom('a', 'b', 'c'),
      bytes: fc.nat(150),
      kind: fc.constantFrom('open', 'hold', 'work', 'close'),
    });

    // Guards against limits that some order of events exceeds, and a sum that drifts.
    it('keeps the limits, and knows what they hold', t => {
      fc.assert(
        fc.property(fc.array(action, { maxLength: 60 }), actions => {
          const { account, open } = createFixture();
          const clients = new Map<number, FakeConnection>();
          actions.forEach(({ client, address, bytes, kind }) => {
            const connection = clients.get(client);
            if (kind === 'open') {
              connection?.close();
              clients.set(client, open(address));
            } else if (kind === 'close') {
              connection?.close();
            } else if (kind === 'hold') {
              connection?.hold(bytes);
            } else if (connection) {
              connection.isWorking = !connection.isWorking;
            }
            const live = [...clients.values()].filter(
              ({ isClosed }) => !isClosed,
            );
            const held = live.reduce(
              (sum, { heldBytes }) => sum + heldBytes,
              0,
            );
            if (
              account.count !== live.length ||
              account.count > LIMITS.maxConnections ||
              account.heldBytes !== held ||
              held > LIMITS.maxHeldBytes
            ) {
              throw new Error(`${account.count} of ${live.length}, ${held}`);
            }
          });
        }),
      );
      t.pass();
    });
  });
});
