import type { ReplicaRow } from '@jujubecroft/decisions';
import type {
  BackendServerId,
  Replica,
  RoutingConfiguration,
} from '@jujubecroft/types';

import type { DiscoveryStore } from '../../src/index.js';
import type { ConfigurationRead } from '../../src/ports/DiscoveryStore.js';
import { VirtualLink } from './VirtualLink.js';
import type { VirtualProcess, VirtualTime } from './VirtualTime.js';

/** One way between an instance and the store. */
const ONE_WAY_MS = 1;
/** Time in which the store does what it is asked. */
const SERVICE_TIME_MS = 4;

/** What the store's clock shows when the others begin. */
const INITIAL_STORE_MS = 5_000_000;

/** A leave of a replica that the store has acknowledged. */
export interface AcknowledgedLeave {
  readonly id: BackendServerId;
  readonly atMs: number;
}

/** Bytes of a call, and of an answer without its rows. */
const CALL_BYTES = 300;
/** Bytes of an entry in an answer. */
const ROW_BYTES = 300;
/** Content lies in rows as base64. */
const BASE64_RATIO = 4 / 3;

/** A client of the store. */
export interface VirtualStoreClient {
  readonly process: VirtualProcess;
  readonly link: VirtualLink;
}

interface PendingWatch {
  readonly answer: () => void;
}

/** A store of replicas and the configuration, on virtual time. */
export class VirtualStore {
  readonly #rows = new Map<string, ReplicaRow>();
  readonly #link: VirtualLink;
  readonly leaves: AcknowledgedLeave[] = [];
  #pendingWatches: PendingWatch[] = [];
  #version = 1;
  #configurationVersion = 1;
  calls = 0;

  constructor(
    private readonly time: VirtualTime,
    private configuration: RoutingConfiguration,
  ) {
    this.#link = new VirtualLink(time, Infinity);
  }

  put(replica: Replica): void {
    this.#version += 1;
    this.#rows.set(replica.id, {
      id: replica.id,
      rowVersion: this.#version,
      replica,
    });
    if (replica.leaving) {
      this.leaves.push({ id: replica.id, atMs: this.time.nowMs });
    }
  }

  remove(id: BackendServerId): void {
    this.#version += 1;
    this.#rows.set(id, { id, rowVersion: this.#version, replica: null });
  }

  /** Puts a configuration; whoever watches it is told at once. */
  configure(cfg: RoutingConfiguration): void {
    this.#version += 1;
    this.#configurationVersion = this.#version;
    this.configuration = cfg;
    const waiting = this.#pendingWatches;
    this.#pendingWatches = [];
    waiting.forEach(({ answer }) => {
      answer();
    });
  }

  /** The store as one instance sees it. */
  connect({ process, link }: VirtualStoreClient): DiscoveryStore {
    /** Sends a call, lets the store work, and sends what it answers. */
    const ask = <Answer>(
      work: (answer: () => void) => void,
      answerOf: () => { readonly answer: Answer; readonly bytes: number },
    ) =>
      new Promise<Answer>(resolve => {
        this.calls += 1;
        this.time.after(link.sendTo(this.#link, CALL_BYTES, ONE_WAY_MS), () => {
          work(() => {
            const { answer, bytes } = answerOf();
            const backMs = this.#link.sendTo(
              link,
              CALL_BYTES + bytes,
              ONE_WAY_MS,
            );
            this.time.after(
              backMs,
              () => {
                resolve(answer);
              },
              process,
              'read',
            );
          });
        });
      });
    const atOnce = (answer: () => void): void => {
      this.time.after(SERVICE_TIME_MS, answer);
    };
    const whole = () => ({
      answer: { configuration: this.configuration, ...this.#versionAndClock },
      bytes: BASE64_RATIO * JSON.stringify(this.configuration).length,
    });
    const entries = (after: number) => {
      const rows = [...this.#rows.values()].filter(
        ({ rowVersion }) => rowVersion > after,
      );
      return {
        answer: { rows, ...this.#versionAndClock },
        bytes: ROW_BYTES * rows.length,
      };
    };
    return {
      readConfiguration: () => ask(atOnce, whole),
      watchConfiguration: (after, waitMs) =>
        ask<ConfigurationRead>(
          answer => {
            if (this.#configurationVersion > after || waitMs === 0) {
              atOnce(answer);
              return;
            }
            this.#addWatch(answer, waitMs);
          },
          () =>
            this.#configurationVersion > after
              ? whole()
              : {
                  answer: { configuration: null, ...this.#versionAndClock },
                  bytes: 0,
                },
        ),
      readReplicas: () => ask(atOnce, () => entries(0)),
      changedReplicas: after => ask(atOnce, () => entries(after)),
      announce: () => Promise.resolve(),
      listInstances: () => Promise.resolve([]),
      close: () => undefined,
    };
  }

  #addWatch(answer: () => void, waitMs: number): void {
    const waiting = { answer };
    this.#pendingWatches.push(waiting);
    this.time.after(waitMs, () => {
      if (this.#pendingWatches.includes(waiting)) {
        this.#pendingWatches = this.#pendingWatches.filter(
          other => other !== waiting,
        );
        answer();
      }
    });
  }

  get #versionAndClock() {
    return {
      version: this.#version,
      storeMs: INITIAL_STORE_MS + this.time.nowMs,
    };
  }
}
