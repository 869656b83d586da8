import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';

import type { SocketFactory } from '../../src/backends/openSocket.js';
import { createMemoryConnection } from './memorySocket.js';
import type { VirtualTime } from './VirtualTime.js';

/** Time until a connection is open. */
const OPENING_MS = 1;

/** A request that a replica runs or ran. */
export interface VirtualRun {
  readonly id: string;
  readonly replica: string;
  readonly fromMs: number;
  /** Time at which its connection closed or its answer was complete; infinite before. */
  toMs: number;
}

/** How replicas write streams. */
export interface StreamPace {
  readonly events: number;
  /** Time before each event. */
  readonly gapMs: number;
  /** Number of requests that a replica runs at once; it rejects more. */
  readonly slots: number;
}

/** Returns one event of a stream. */
function eventText(number: number): string {
  return `id: ${number}\ndata: ${number}\n\n`;
}

/** @returns the whole body of a stream */
export function wholeStream({ events }: StreamPace): string {
  return Array.from({ length: events }, (_, at) => eventText(at + 1)).join('');
}

/**
 * Replicas in virtual time that answer over HTTP, on connections in memory, and may fall
 * silent.
 */
export class VirtualReplicas {
  readonly runs: VirtualRun[] = [];
  /** Number of requests that reached a replica. */
  arrivals = 0;
  readonly #servers = new Map<string, Server>();
  /** End of the silence of each replica. */
  readonly #silentUntilMs = new Map<string, number>();

  /**
   * @param time - the clock
   * @param pace - how they write streams
   */
  constructor(
    private readonly time: VirtualTime,
    private readonly pace: StreamPace,
  ) {}

  /** Opens connections to the replicas by their hosts. */
  readonly connect: SocketFactory = ({ host = '' }): Socket => {
    const { client, server, open } = createMemoryConnection();
    this.time.after(OPENING_MS, () => {
      this.#servers.get(host)?.emit('connection', server);
      open();
    });
    return client;
  };

  /** Starts a replica, which is reached at a host of this name. */
  start(replica: string): void {
    this.#servers.set(
      replica,
      createServer((req, res) => {
        this.#run(replica, req, res);
      }),
    );
  }

  /**
   * Makes a replica write nothing for a while.
   *
   * @param replica - the replica
   * @param forMs - duration
   */
  silence(replica: string, forMs: number): void {
    this.#silentUntilMs.set(replica, this.time.nowMs + forMs);
  }

  #run(replica: string, req: IncomingMessage, res: ServerResponse): void {
    const id = String(req.headers['x-id']);
    this.arrivals += 1;
    const running = this.runs.filter(
      ({ replica: other, toMs }) => other === replica && toMs === Infinity,
    );
    if (running.length >= this.pace.slots) {
      this.#afterSilence(replica, () => {
        res.writeHead(503, { 'x-id': id, 'x-not-run': '1' });
        res.end();
      });
      return;
    }
    const run: VirtualRun = {
      id,
      replica,
      fromMs: this.time.nowMs,
      toMs: Infinity,
    };
    this.runs.push(run);
    res.once('close', () => {
      run.toMs = this.time.nowMs;
    });
    const write = (number: number): void => {
      if (res.destroyed) {
        return;
      }
      if (!res.headersSent) {
        res.writeHead(200, {
          'content-type': 'text/event-stream',
          'x-id': id,
          'x-stamp': replica,
        });
      }
      res.write(eventText(number));
      if (number >= this.pace.events) {
        res.end();
        return;
      }
      this.#afterGap(replica, () => {
        write(number + 1);
      });
    };
    this.#afterGap(replica, () => {
      write(Number(req.headers['last-event-id'] ?? 0) + 1);
    });
  }

  /** Runs a step after the time of a gap, and after the end of a silence. */
  #afterGap(replica: string, step: () => void): void {
    this.time.after(this.pace.gapMs, () => {
      this.#afterSilence(replica, step);
    });
  }

  #afterSilence(replica: string, step: () => void): void {
    const untilMs = this.#silentUntilMs.get(replica) ?? 0;
    if (untilMs > this.time.nowMs) {
      this.time.after(untilMs - this.time.nowMs, () => {
        this.#afterSilence(replica, step);
      });
    } else {
      step();
    }
  }
}
