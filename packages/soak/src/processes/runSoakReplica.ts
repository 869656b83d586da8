import { openSync, writeSync } from 'node:fs';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { text as readText } from 'node:stream/consumers';
import { createRandom, STRICT_PARSER } from '@jujubecroft/types';

import { eventText, plainBody } from '../answers.js';
import type { ReplicaNote } from '../evidence.js';
import type {
  ReplicaFault,
  SoakReplicaDialect,
  SoakReplicaConfig,
  SoakRequestMetadata,
} from '../SoakEnvironment.js';
import { soakNow } from '../soakNow.js';
import { workOf } from '../workOf.js';
import { sendContradictingHead } from './contradictingHeads.js';
import {
  invalidStatusLine,
  rawMessage,
  sendEndlessResponse,
} from './invalidResponses.js';
import type { ReplicaControlMessage } from './ReplicaControlMessage.js';
import { Silence } from './Silence.js';

/** Maximum number of requests that are executed at once. */
const MAX_RUNNING = 12;
/** Maximum number of requests that wait for a slot; more are refused. */
const MAX_QUEUED = 24;
const HEARTBEAT_MS = 400;
/** Share of the responses without a length or chunks. */
const UNFRAMED_SHARE = 0.15;
/** Share of the requests that a fault affects. */
const FAULTY_SHARE = 0.5;
/** Share of the requests that a replica rejects to send copies of the rejections. */
const REJECTED_SHARE = 0.3;
const HTTP_OK = 200;
const HTTP_MISDIRECTED_REQUEST = 421;
const HTTP_INTERNAL_SERVER_ERROR = 500;
const HTTP_SERVICE_UNAVAILABLE = 503;
const REJECTED_LINE = `HTTP/1.1 ${HTTP_SERVICE_UNAVAILABLE} Full`;

/** A backend server that records the requests that reach it, for later checks. */
class SoakReplica {
  readonly #notesFd: number;
  readonly #random: () => number;
  readonly #queue: (() => void)[] = [];
  /** Rejections to be sent a second time, by connection. */
  readonly #rejections = new WeakMap<Socket, string>();
  readonly #silence = new Silence();
  #fault: ReplicaFault = 'well';
  #running = 0;
  /** Whether the entry says that the replica is leaving, or will say so. */
  #leaving = false;
  /** Whether answers announce that the replica is leaving. */
  #announcesLeave = false;
  #limitPerS: number | null = null;
  /** Pause to request with each refusal; null to accept requests. */
  #pauseMs: number | null = null;
  #sequence = 0;

  constructor(
    private readonly place: SoakReplicaConfig,
    private readonly dialect: SoakReplicaDialect,
  ) {
    // Notes are written synchronously, so that none is lost when the process is killed.
    this.#notesFd = openSync(place.notesFile, 'a');
    this.#random = createRandom(place.seed);
  }

  start(): void {
    const server = createServer(STRICT_PARSER, (req, res) => {
      this.#handleRequest(req, res).catch((err: unknown) => {
        process.stderr.write(`${String(err)}\n`);
        res.destroy();
      });
    });
    server.listen(this.place.port, this.place.host);
    setInterval(() => {
      this.#sendHeartbeat();
    }, HEARTBEAT_MS);
    this.#sendHeartbeat();
    process.on('message', (message: ReplicaControlMessage) => {
      this.#handleMessage(message);
    });
    // A replica must not outlive the soak that started it.
    process.on('disconnect', () => process.exit(0));
  }

  #handleMessage(order: ReplicaControlMessage): void {
    if (order.order === 'fault') {
      this.#fault = order.fault;
      return;
    }
    if (order.order === 'shed') {
      this.#pauseMs = order.pauseMs;
      return;
    }
    if (order.order === 'silence') {
      const { forMs } = order;
      this.#silence.begin(forMs);
      const { replica } = this.place;
      this.#writeNote({ type: 'silent', replica, atMs: soakNow(), forMs });
      return;
    }
    if (order.order === 'limit') {
      const { perS } = order;
      this.#limitPerS = perS;
      const { replica } = this.place;
      this.#writeNote({ type: 'limit', replica, atMs: soakNow(), perS });
      return;
    }
    if (order.order === 'leaveInAnswers') {
      this.#announceLeaveInAnswers();
      return;
    }
    if (order.announces) {
      this.#announceLeaveInAnswers();
    }
    this.#leaving = true;
    this.#sequence += 1;
    const state = order.announces ? 'leaving' : 'removed';
    const announce = (): void => {
      this.dialect
        .announce(this.place, state, this.#sequence)
        .then(() => {
          setTimeout(() => process.exit(0), order.forMs);
        })
        .catch(() => {
          // The store is unavailable. The replica leaves only once the store has
          // acknowledged.
          setTimeout(announce, HEARTBEAT_MS);
        });
    };
    announce();
  }

  #announceLeaveInAnswers(): void {
    if (!this.#announcesLeave) {
      this.#announcesLeave = true;
      const { replica } = this.place;
      this.#writeNote({ type: 'leaving', replica, atMs: soakNow() });
    }
  }

  #sendHeartbeat(): void {
    if (this.#leaving) {
      return;
    }
    this.#sequence += 1;
    this.dialect
      .announce(this.place, 'ready', this.#sequence)
      .catch((err: unknown) => {
        process.stderr.write(`heartbeat failed: ${String(err)}\n`);
      });
  }

  #writeNote(note: ReplicaNote): void {
    writeSync(this.#notesFd, `${JSON.stringify(note)}\n`);
  }

  async #handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const head = this.dialect.readHead(req.headers);
    const body = await readText(req);
    const { replica, service } = this.place;
    const isMisdirected = head.expected !== null && head.expected !== replica;
    const isFull =
      (this.#running >= MAX_RUNNING && this.#queue.length >= MAX_QUEUED) ||
      (this.#fault === 'copiesRejections' && this.#random() < REJECTED_SHARE);
    const pauseMs = isMisdirected ? null : this.#pauseMs;
    const ran =
      head.id !== null && !isMisdirected && !isFull && pauseMs === null;
    const atMs = soakNow();
    const work = workOf(body);
    const events = Math.max(0, work.events - head.after);
    const durationMs = work.workMs + events * work.gapMs;
    this.#writeNote({
      type: 'got',
      id: head.id ?? '',
      replica,
      service,
      atMs,
      ran,
      pauseMs,
      target: req.url ?? '',
      body,
      organisation: head.organisation,
      timeLeftMs: head.timeLeftMs,
      after: head.after,
      endsMs: atMs + durationMs,
    });
    if (!ran) {
      await this.#silence.ended();
      const headers = this.dialect.notRunHeaders(head, pauseMs);
      if (this.#fault === 'copiesRejections') {
        this.#rejections.set(req.socket, rawMessage(REJECTED_LINE, headers));
      }
      res.writeHead(
        isMisdirected ? HTTP_MISDIRECTED_REQUEST : HTTP_SERVICE_UNAVAILABLE,
        headers,
      );
      res.end();
      return;
    }
    this.#sendLateCopy(req.socket);
    res.once('close', () => {
      this.#writeNote({
        type: 'closed',
        id: head.id ?? '',
        replica,
        atMs: soakNow(),
        whole: res.writableFinished,
      });
    });
    await this.#acquireSlot();
    try {
      await this.#respond(head, body, res);
    } finally {
      this.#running -= 1;
      this.#queue.shift()?.();
    }
  }

  /** Sends a rejection again that was sent on this connection. */
  #sendLateCopy(socket: Socket): void {
    const copy = this.#rejections.get(socket);
    if (copy !== undefined) {
      this.#rejections.delete(socket);
      socket.write(copy);
    }
  }

  async #acquireSlot(): Promise<void> {
    if (this.#running >= MAX_RUNNING) {
      await new Promise<void>(resolve => this.#queue.push(resolve));
    }
    this.#running += 1;
  }

  async #respond(
    head: SoakRequestMetadata,
    body: string,
    res: ServerResponse,
  ): Promise<void> {
    const work = workOf(body);
    const id = head.id ?? '';
    const stamp = `${this.place.replica}/${id}`;
    const isFaulty =
      !['copiesRejections', 'well'].includes(this.#fault) &&
      this.#random() < FAULTY_SHARE;
    await this.#pace(work.workMs, res);
    if (work.crashes === true && work.events === 0) {
      process.exit(1);
    }
    const load = {
      running: this.#running,
      waiting: this.#queue.length,
      slots: MAX_RUNNING,
      limitPerS: this.#limitPerS,
      isLeaving: this.#announcesLeave,
    };
    const headers = this.dialect.answerHeaders(head, stamp, load);
    if (isFaulty && this.#writeFaultyResponse(head, headers, res)) {
      return;
    }
    if (this.#random() < UNFRAMED_SHARE) {
      res.useChunkedEncodingByDefault = false;
      res.shouldKeepAlive = false;
    }
    if (work.events === 0) {
      const text = plainBody(id, stamp);
      if (isFaulty) {
        this.#truncatePlain(text, headers, res);
        return;
      }
      res.writeHead(HTTP_OK, headers);
      res.end(text);
      return;
    }
    res.writeHead(HTTP_OK, { ...headers, 'content-type': 'text/event-stream' });
    const { softwareVersion: version } = this.place;
    const truncateAt = isFaulty ? Math.ceil(work.events / 2) : Infinity;
    for (let number = head.after + 1; number <= work.events; number += 1) {
      if (res.destroyed) {
        return;
      }
      const text = eventText({ id, events: work.events, version }, number);
      if (work.crashes === true) {
        res.write(text, () => process.exit(1));
        return;
      }
      if (number >= truncateAt) {
        res.write(text.slice(0, text.length / 2), () => res.destroy());
        return;
      }
      res.write(text);
      await this.#pace(work.gapMs, res);
    }
    res.end();
  }

  /** Sends less than the content length announces, or resets the connection. */
  #truncatePlain(
    text: string,
    headers: Record<string, string>,
    res: ServerResponse,
  ): void {
    const isFramed = res.useChunkedEncodingByDefault;
    const length = isFramed ? { 'content-length': text.length } : {};
    res.writeHead(HTTP_OK, { ...headers, ...length });
    res.write(text.slice(0, text.length / 2), () => {
      if (isFramed) {
        res.destroy();
      } else {
        res.socket?.resetAndDestroy();
      }
    });
  }

  /**
   * Responds as the current fault requires.
   *
   * @returns false if the fault truncates the regular response instead
   */
  #writeFaultyResponse(
    head: SoakRequestMetadata,
    headers: Record<string, string>,
    res: ServerResponse,
  ): boolean {
    switch (this.#fault) {
      case 'contradicts': {
        const notRun = this.dialect.notRunHeaders(head, null);
        sendContradictingHead(res, headers, notRun, this.#random);
        return true;
      }
      case 'grey':
        res.writeHead(HTTP_INTERNAL_SERVER_ERROR, headers);
        res.end('failed');
        return true;
      case 'losesAnswers':
        res.destroy();
        return true;
      case 'garbles':
        res.socket?.write('\u0001\u0002 these bytes are no answer \r\n\r\n');
        res.socket?.end();
        return true;
      case 'neverEnds':
        this.#sendEndless(head.id ?? '', headers, res);
        return true;
      case 'spoilsHeads':
        res.socket?.write(
          rawMessage(invalidStatusLine(this.#random), headers, 'body'),
        );
        res.socket?.end();
        return true;
      case 'copiesRejections':
      case 'truncates':
      case 'well':
        return false;
    }
  }

  #sendEndless(
    id: string,
    headers: Record<string, string>,
    res: ServerResponse,
  ): void {
    const { replica } = this.place;
    const fromMs = soakNow();
    if (res.socket) {
      sendEndlessResponse(res.socket, headers, this.#random, () => {
        const atMs = soakNow();
        this.#writeNote({ type: 'endless', id, replica, fromMs, atMs });
      });
    }
  }

  /** Waits for the given time and the end of a silence, before the next bytes. */
  async #pace(ms: number, res: ServerResponse): Promise<void> {
    await this.#delay(ms, res);
    await this.#silence.ended();
  }

  /** Waits for the given time, or until the connection closes. */
  async #delay(ms: number, res: ServerResponse): Promise<void> {
    if (ms <= 0 || res.destroyed) {
      return;
    }
    await new Promise<void>(resolve => {
      const done = (): void => {
        clearTimeout(timer);
        res.off('close', done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      res.once('close', done);
    });
  }
}

/**
 * Starts one replica, which runs until its process exits.
 *
 * @param place - configuration of the replica
 * @param dialect - formats of headers and store entries
 */
export function runSoakReplica(
  place: SoakReplicaConfig,
  dialect: SoakReplicaDialect,
): void {
  new SoakReplica(place, dialect).start();
}
