import { openSync, writeSync } from 'node:fs';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { createRandom } from '@jujubecroft/types';

import { eventText, plainBody } from '../answers.js';
import type { ReplicaNote } from '../evidence.js';
import type {
  ReplicaFault,
  SoakReplicaDialect,
  SoakReplicaPlace,
  SoakRequestHead,
} from '../SoakEnvironment.js';
import { soakNow } from '../soakNow.js';
import { workOf } from '../workOf.js';

/** Told to a replica process by the soak. */
export type ReplicaOrder =
  | {
      readonly order: 'leave';
      readonly announces: boolean;
      readonly forMs: number;
    }
  | { readonly order: 'fault'; readonly fault: ReplicaFault }
  | { readonly order: 'limit'; readonly perS: number | null };

const SLOTS = 12;
/** Requests that may wait for a slot; more are turned away. */
const QUEUE = 24;
const HEARTBEAT_MS = 400;
/** Share of the requests that a bad fault concerns. */
const BAD_SHARE = 0.5;
const OK = 200;
const MISDIRECTED = 421;
const FAILED = 500;
const FULL = 503;

/** A backend server that writes down what reaches it, for checks afterwards. */
class SoakReplica {
  readonly #notes: number;
  readonly #random: () => number;
  readonly #queue: (() => void)[] = [];
  #fault: ReplicaFault = 'well';
  #running = 0;
  #leaving = false;
  #limitPerS: number | null = null;
  #sequence = 0;

  constructor(
    private readonly place: SoakReplicaPlace,
    private readonly dialect: SoakReplicaDialect,
  ) {
    // Written through at once, so that a kill loses nothing.
    this.#notes = openSync(place.notesFile, 'a');
    this.#random = createRandom(place.seed);
  }

  start(): void {
    const server = createServer((req, res) => {
      this.#take(req, res).catch((err: unknown) => {
        process.stderr.write(`${String(err)}\n`);
        res.destroy();
      });
    });
    server.listen(this.place.port, this.place.host);
    setInterval(() => {
      this.#beat();
    }, HEARTBEAT_MS);
    this.#beat();
    process.on('message', (message: ReplicaOrder) => {
      this.#obey(message);
    });
    // A replica must not outlive the soak that started it.
    process.on('disconnect', () => process.exit(0));
  }

  #obey(order: ReplicaOrder): void {
    if (order.order === 'fault') {
      this.#fault = order.fault;
      return;
    }
    if (order.order === 'limit') {
      const { perS } = order;
      this.#limitPerS = perS;
      const { replica } = this.place;
      this.#note({ type: 'limit', replica, atMs: soakNow(), perS });
      return;
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
          // The store is away; a replica leaves only once it has told.
          setTimeout(announce, HEARTBEAT_MS);
        });
    };
    announce();
  }

  #beat(): void {
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

  #note(note: ReplicaNote): void {
    writeSync(this.#notes, `${JSON.stringify(note)}\n`);
  }

  async #take(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const head = this.dialect.readHead(req.headers);
    const body = await readText(req);
    const { replica, service } = this.place;
    const misdirected = head.expected !== null && head.expected !== replica;
    const full = this.#running >= SLOTS && this.#queue.length >= QUEUE;
    const ran = head.id !== null && !misdirected && !full;
    const atMs = soakNow();
    const work = workOf(body);
    const events = Math.max(0, work.events - head.after);
    const lastsMs = work.workMs + events * work.gapMs;
    this.#note({
      type: 'got',
      id: head.id ?? '',
      replica,
      service,
      atMs,
      ran,
      target: req.url ?? '',
      body,
      organisation: head.organisation,
      timeLeftMs: head.timeLeftMs,
      after: head.after,
      endsMs: atMs + lastsMs,
    });
    if (!ran) {
      res.writeHead(
        misdirected ? MISDIRECTED : FULL,
        this.dialect.notRunHeaders(head),
      );
      res.end();
      return;
    }
    res.once('close', () => {
      this.#note({
        type: 'closed',
        id: head.id ?? '',
        replica,
        atMs: soakNow(),
        whole: res.writableFinished,
      });
    });
    await this.#slot();
    try {
      await this.#answer(head, body, res);
    } finally {
      this.#running -= 1;
      this.#queue.shift()?.();
    }
  }

  async #slot(): Promise<void> {
    if (this.#running >= SLOTS) {
      await new Promise<void>(resolve => this.#queue.push(resolve));
    }
    this.#running += 1;
  }

  async #answer(
    head: SoakRequestHead,
    body: string,
    res: ServerResponse,
  ): Promise<void> {
    const work = workOf(body);
    const id = head.id ?? '';
    const mark = `${this.place.replica}/${id}`;
    const isBad = this.#fault !== 'well' && this.#random() < BAD_SHARE;
    await this.#pause(work.workMs, res);
    if (work.crashes === true) {
      process.exit(1);
    }
    const load = {
      running: this.#running,
      waiting: this.#queue.length,
      slots: SLOTS,
      limitPerS: this.#limitPerS,
    };
    const headers = this.dialect.answerHeaders(head, mark, load);
    if (isBad && this.#misbehave(headers, res)) {
      return;
    }
    if (work.events === 0) {
      const text = plainBody(id, mark);
      if (isBad) {
        // Announces more than it sends.
        res.writeHead(OK, { ...headers, 'content-length': text.length });
        res.write(text.slice(0, text.length / 2), () => res.destroy());
        return;
      }
      res.writeHead(OK, headers);
      res.end(text);
      return;
    }
    res.writeHead(OK, { ...headers, 'content-type': 'text/event-stream' });
    const cutAt = isBad ? Math.ceil(work.events / 2) : Infinity;
    for (let number = head.after + 1; number <= work.events; number += 1) {
      if (res.destroyed) {
        return;
      }
      const text = eventText(id, number, work.events);
      if (number >= cutAt) {
        res.write(text.slice(0, text.length / 2), () => res.destroy());
        return;
      }
      res.write(text);
      await this.#pause(work.gapMs, res);
    }
    res.end();
  }

  /** Answers wrongly; returns whether it did. */
  #misbehave(headers: Record<string, string>, res: ServerResponse): boolean {
    switch (this.#fault) {
      case 'grey':
        res.writeHead(FAILED, headers);
        res.end('failed');
        return true;
      case 'losesAnswers':
        res.destroy();
        return true;
      case 'garbles':
        res.socket?.write('\u0001\u0002 these bytes are no answer \r\n\r\n');
        res.socket?.end();
        return true;
      case 'truncates':
      case 'well':
        return false;
    }
  }

  /** Waits, but not for a connection that is gone. */
  async #pause(ms: number, res: ServerResponse): Promise<void> {
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
 * Runs one replica until its process ends.
 *
 * @param place - who it is and where
 * @param dialect - how replicas speak in this environment
 */
export function runSoakReplica(
  place: SoakReplicaPlace,
  dialect: SoakReplicaDialect,
): void {
  new SoakReplica(place, dialect).start();
}
