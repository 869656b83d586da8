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

/** Network delay between an instance and the store, in one direction. */
const ONE_WAY_MS = 1;
/** Time that the store takes for a call. */
const SERVICE_TIME_MS = 4;

/** Timeout of a call. */
const TIMEOUT_MS = 900;

/** Reading of the store's clock when virtual time starts. */
const INITIAL_STORE_MS = 5_000_000;

/**
 * An entry by which a replica announced that it leaves, as acknowledged by the store.
 */
export interface AcknowledgedLeave {
  readonly id: BackendServerId;
  readonly atMs: number;
}

/** Size of a call, and of an answer without its rows. */
const CALL_BYTES = 300;
/** Size of a replica entry in an answer. */
const ROW_BYTES = 300;
/** Growth of the content by base64, in which rows hold it. */
const BASE64_RATIO = 4 / 3;

/** A client of the store. */
export interface VirtualStoreClient {
  readonly process: VirtualProcess;
  readonly link: VirtualLink;
}

/** A watch that waits for a configuration. */
interface PendingWatch {
  readonly answer: () => void;
}

/** A store of replica entries and the configuration, in virtual time. */
export class VirtualStore {
  readonly #rows = new Map<string, ReplicaRow>();
  readonly #link: VirtualLink;
  readonly leaves: AcknowledgedLeave[] = [];
  #pendingWatches: PendingWatch[] = [];
  #version = 1;
  #configurationVersion = 1;
  calls = 0;
  /** Whether calls get no answer. */
  isSilent = false;

  constructor(
    private readonly time: VirtualTime,
    private configuration: RoutingConfiguration,
  ) {
    this.#link = new VirtualLink(time, Infinity);
  }

  /** Writes the entry of a replica. */
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

  /** Removes the entry of a replica. */
  remove(id: BackendServerId): void {
    this.#version += 1;
    this.#rows.set(id, { id, rowVersion: this.#version, replica: null });
  }

  /** Writes a configuration, and answers pending watches immediately. */
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

  /** @returns the store as a client reaches it over the network */
  connect({ process, link }: VirtualStoreClient): DiscoveryStore {
    /** Sends a call, waits until the store has handled it, and sends the answer. */
    const call = <Answer>(
      handle: (answer: () => void) => void,
      answerOf: () => { readonly answer: Answer; readonly bytes: number },
    ) =>
      new Promise<Answer>((resolve, reject) => {
        this.calls += 1;
        if (this.isSilent) {
          this.time.after(
            TIMEOUT_MS,
            () => {
              reject(new Error('no answer in time'));
            },
            process,
          );
          return;
        }
        this.time.after(link.sendTo(this.#link, CALL_BYTES, ONE_WAY_MS), () => {
          handle(() => {
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
    const immediately = (answer: () => void): void => {
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
      readConfiguration: () => call(immediately, whole),
      watchConfiguration: (after, waitMs) =>
        call<ConfigurationRead>(
          answer => {
            if (this.#configurationVersion > after || waitMs === 0) {
              immediately(answer);
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
      readReplicas: () => call(immediately, () => entries(0)),
      changedReplicas: after => call(immediately, () => entries(after)),
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
