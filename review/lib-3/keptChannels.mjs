// Callers that send one request after the other on a channel that they keep.
import { Agent } from 'node:http';

import { HOST_NAME, KEY } from './Config.mjs';
import { send } from './Client.mjs';
import { sleep } from './Fleet.mjs';

/** @returns a sound service that works for a time between two bounds, in milliseconds */
export const answerAfter =
  (minMs, maxMs) =>
  async ({ res, head }) => {
    await sleep(minMs + Math.random() * (maxMs - minMs));
    res.writeHead(200, head);
    res.end(Buffer.alloc(800, 'a'));
  };

/** Sends calls to a gateway until it ends, or `isOver` returns true. */
export async function keepCalling(
  instance,
  port,
  { path, deadlineMs = 4000, isOver, onEnd },
) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  await sleep(Math.random() * 500);
  while (!isOver() && instance.ended === null) {
    const got = await send({
      host: instance.host,
      port,
      name: HOST_NAME,
      method: 'POST',
      path,
      deadlineMs,
      key: KEY,
      body: Buffer.alloc(600, 'b'),
      agent,
    });
    onEnd(instance, got);
  }
  agent.destroy();
}

const MAX_LOST = 3;

/**
 * Collects requests of kept channels that were passed on to a replica and whose channel
 * was closed without an answer.
 */
export class Losses {
  #lost = [];

  constructor(record, replicas) {
    Object.assign(this, { record, replicas });
  }

  onEnd = (instance, { id, status, complete, error }) => {
    this.record.note(
      `${id} to ${instance.name}: ${status ?? error}${complete ? '' : ', cut'}`,
    );
    const hasRun = this.replicas.some(({ runs }) =>
      runs.some(run => run.id === id),
    );
    if (status === null && error !== 'gave up' && hasRun) {
      this.#lost.push(`${id} at ${instance.name}`);
    }
  };

  /** Notes how the processes ended; returns what breaks the rule. */
  judge(instances) {
    const { record } = this;
    for (const { name, ended } of instances.filter(one => one.ended)) {
      record.note(
        `${name} ended by itself: code ${ended.code}, signal ${ended.signal}`,
      );
    }
    record.note(
      `${this.#lost.length} requests of kept channels passed on and closed without an answer`,
    );
    return this.#lost.length > MAX_LOST ? this.#lost : [];
  }
}
