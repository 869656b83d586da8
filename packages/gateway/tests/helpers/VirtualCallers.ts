import type { Server } from 'node:http';
import { createServer, request } from 'node:http';

import { CallerTurns } from '../../src/front/CallerTurns.js';
import { handleRequest } from '../../src/front/handleRequest.js';
import { InFlightRequests } from '../../src/front/InFlightRequests.js';
import type { GatewayContext } from '../../src/GatewayContext.js';
import { createMemoryConnection } from './memorySocket.js';
import type { VirtualTime } from './VirtualTime.js';

/** What a caller received. */
export interface VirtualAnswer {
  readonly id: string;
  readonly status: number | null;
  readonly body: string;
  /** Whether the response was received to its regular end. */
  readonly whole: boolean;
}

/** Callers of instances in virtual time, on connections in memory. */
export class VirtualCallers {
  readonly answers: VirtualAnswer[] = [];
  /** Number of requests sent. */
  sent = 0;
  readonly #servers = new Map<GatewayContext, Server>();

  constructor(private readonly time: VirtualTime) {}

  /**
   * Sends requests to an instance at a fixed interval.
   *
   * @param context - the instance
   * @param path - path of the requests
   * @param intervalMs - interval between the requests
   * @param forMs - duration
   */
  sendTo(
    context: GatewayContext,
    path: string,
    intervalMs: number,
    forMs: number,
  ): void {
    for (let atMs = 0; atMs < forMs; atMs += intervalMs) {
      this.time.after(atMs, () => {
        this.#send(context, path);
      });
    }
  }

  #send(context: GatewayContext, path: string): void {
    this.sent += 1;
    const id = `q-${this.sent}`;
    const { client, server, open } = createMemoryConnection();
    this.#serverOf(context).emit('connection', server);
    open();
    const end = (status: number | null, body: string, whole: boolean): void => {
      this.answers.push({ id, status, body, whole });
    };
    request({
      path,
      headers: { host: 'a.example', 'x-id': id },
      createConnection: () => client,
    })
      .once('response', res => {
        let body = '';
        res.on('data', (chunk: Buffer) => {
          body += chunk.toString('latin1');
        });
        res.once('error', () => undefined);
        res.once('close', () => {
          end(res.statusCode ?? null, body, res.complete);
        });
      })
      .once('error', () => {
        end(null, '', false);
      })
      .end();
  }

  #serverOf(context: GatewayContext): Server {
    const existing = this.#servers.get(context);
    if (existing) {
      return existing;
    }
    const inFlight = new InFlightRequests(context);
    const turns = new CallerTurns();
    const server = createServer((req, res) => {
      void handleRequest(context, inFlight, turns, req, res);
    });
    this.#servers.set(context, server);
    return server;
  }
}
