import { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@jujubecroft/testing';

import type { ConnectionWays } from '../../src/relay/ConnectionRace.js';
import { ConnectionRace } from '../../src/relay/ConnectionRace.js';

const RELAY_AFTER_MS = 20;

/** Sockets that the test opens, and what the race reported. */
function createRace(changes: Partial<ConnectionWays> = {}) {
  const direct = new Socket();
  const relayed = new Socket();
  const events: string[] = [];
  const race = new ConnectionRace({
    openDirect: () => direct,
    openRelayed: () => Promise.resolve(relayed),
    onDirect: () => {
      events.push('direct');
    },
    onRelayed: () => {
      events.push('relayed');
    },
    isPathAlive: () => false,
    ...changes,
  });
  return { race, direct, relayed, events };
}

describe('ConnectionRace', ({ it }) => {
  it('uses a direct connection that opens in time', async t => {
    const { race, direct, events } = createRace();
    const open = race.run(true, RELAY_AFTER_MS);
    direct.emit('connect');
    t.is(await open, direct);
    await sleep(2 * RELAY_AFTER_MS);
    t.deepEqual(events, ['direct']);
  });

  it('goes through another instance at once when the direct attempt fails', async t => {
    const { race, direct, relayed, events } = createRace();
    const open = race.run(true, 60_000);
    direct.emit('error', new Error('refused'));
    t.is(await open, relayed);
    t.deepEqual(events, ['relayed']);
  });

  // Guards against a path that counts as lost for long because one attempt to
  // connect was slow.
  it('reports a direct connection that opens too late, and closes it', async t => {
    const { race, direct, relayed, events } = createRace();
    t.is(await race.run(true, RELAY_AFTER_MS), relayed);
    direct.emit('connect');
    t.deepEqual(events, ['relayed', 'direct']);
    t.true(direct.destroyed);
  });

  it('waits for a slow direct attempt while the replica answers on others', async t => {
    const { race, direct, events } = createRace({ isPathAlive: () => true });
    const open = race.run(true, RELAY_AFTER_MS);
    await sleep(2 * RELAY_AFTER_MS);
    direct.emit('connect');
    t.is(await open, direct);
    t.deepEqual(events, ['direct']);
  });

  it('fails with the first reason when both ways fail', async t => {
    const { race, direct } = createRace({
      openRelayed: () => Promise.reject(new Error('no other instance')),
    });
    const open = race.run(true, RELAY_AFTER_MS);
    direct.emit('error', new Error('refused'));
    await t.throwsAsync(open, { message: 'refused' });
  });
});
