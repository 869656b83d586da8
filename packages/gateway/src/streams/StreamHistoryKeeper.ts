import type { GatewayRequest, StreamHistory } from '@jujubecroft/decisions';
import {
  determineViewState,
  hasResumableStreams,
  isSameHistory,
  observeStreams,
  othersLeftMs,
  parseStreamHistory,
  rankOf,
  soleOriginFromMs,
  soleServiceFromMs,
} from '@jujubecroft/decisions';
import type { Route, ServiceId, SoftwareVersion } from '@jujubecroft/types';
import { eraOf } from '@jujubecroft/types';

import type { ConditionalTable } from '../duties/createHoldingStore.js';
import type { GatewayContext } from '../GatewayContext.js';

/**
 * Time per rank after which an instance writes what it observes, in milliseconds. Usually
 * another one has written it by then.
 */
const DELAY_PER_RANK_MS = 100;
const MAX_DELAY_MS = 2000;
/** Time from a failed call to the next one, in milliseconds. */
const RETRY_DELAY_MS = 500;

/** The history as last read, with the version of its row. */
interface ReadHistory {
  readonly history: StreamHistory | null;
  /** Version of the row; 0 if there is none. */
  readonly rowVersion: number;
  readonly era: number;
  /** Store's clock at the read, in milliseconds. */
  readonly storeMs: number;
  /** Local time of the answer. */
  readonly atMs: number;
}

/** What decides whether the row lacks something. */
interface Compared {
  readonly read: ReadHistory;
  readonly table: unknown;
  readonly longestLifeMs: number;
  readonly versions: string;
}

/** Key of the row of an era: a restored store lacks what was written after the copy. */
function keyOf(era: number): string {
  return `history-${era}`;
}

/**
 * Keeps in the store where streams can have begun.
 *
 * Whatever instances know of it is gone when all of them are lost at once. The row is
 * written when a version of a service or the service of a route changes, and when a
 * stream may live for longer than any before, but not for each stream.
 */
export class StreamHistoryKeeper {
  #table: ConditionalTable | null = null;
  #read: ReadHistory | null = null;
  #longestLifeMs = 0;
  /** Since when this instance observes what the row lacks; null while it lacks nothing. */
  #lackingSinceMs: number | null = null;
  #isBusy = false;
  #pausedUntilMs = 0;
  /** What the row was last compared with, and found to lack nothing of. */
  #compared: Compared | null = null;

  /** @param context - view, members and clock */
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'clock' | 'membership' | 'router' | 'settings'
    >,
  ) {}

  /** Connects the store. */
  connect(table: ConditionalTable): void {
    this.#table = table;
  }

  /** Records the life that a stream may reach, in milliseconds. */
  onLife(lifeMs: number): void {
    this.#longestLifeMs = Math.max(this.#longestLifeMs, lifeMs);
    if (lifeMs > this.#knownLifeMs) {
      this.#startUpdate();
    }
  }

  /** Whether the row has been read. */
  get isKnown(): boolean {
    return this.#read !== null;
  }

  /** Longest known life of a stream, in milliseconds; infinite if there is no row. */
  get longestLifeMs(): number {
    return this.#read?.history
      ? Math.max(this.#knownLifeMs, this.#longestLifeMs)
      : Infinity;
  }

  /**
   * Reads the row.
   *
   * @returns whether the store answered
   */
  async refresh(): Promise<boolean> {
    if (!this.#table) {
      return false;
    }
    try {
      this.#read = await this.#readFrom(this.#table);
      return true;
    } catch {
      return false;
    }
  }

  /**
   * Returns for how long all streams of a route have begun at one version.
   *
   * @param request - the request, whose route leads to its service now
   * @param version - the version of that service's replicas
   * @returns milliseconds, as of the last read; 0 if the row doesn't show it
   */
  soleOriginForMs(
    { route, service }: Pick<GatewayRequest, 'route' | 'service'>,
    version: SoftwareVersion,
  ): number {
    return this.#ageOf(history =>
      soleOriginFromMs(history, route, service.id, version),
    );
  }

  /**
   * Returns for how long a route has led to one service only.
   *
   * @returns milliseconds, as of the last read; 0 if the row doesn't show it
   */
  soleServiceForMs(route: Route, service: ServiceId): number {
    return this.#ageOf(history => soleServiceFromMs(history, route, service));
  }

  /**
   * Returns how long ago a replica of any other version of a service left.
   *
   * @returns milliseconds, as of the last read; infinite if the row shows no other version
   */
  sinceOthersMs(service: ServiceId, version: SoftwareVersion): number {
    return this.#read?.history
      ? this.#ageOf(history => othersLeftMs(history, service, version))
      : Infinity;
  }

  /** Writes what the row lacks, if it is this instance's turn. */
  check(): void {
    const { clock } = this.context;
    if (!this.#isCurrent || this.#isBusy || clock() < this.#pausedUntilMs) {
      return;
    }
    if (this.#read && this.#isComplete(this.#read)) {
      this.#lackingSinceMs = null;
      return;
    }
    this.#lackingSinceMs ??= clock();
    if (clock() - this.#lackingSinceMs >= this.#delayMs) {
      this.#startUpdate();
    }
  }

  /** Whether the row lacks nothing, compared in full only after a change. */
  #isComplete(read: ReadHistory): boolean {
    const { board } = this.context.router;
    const compared: Compared = {
      read,
      table: board.table,
      longestLifeMs: this.#longestLifeMs,
      versions: [
        ...new Set(
          board.replicas.replicas.map(
            ({ service, softwareVersion }) =>
              `${service} ${softwareVersion ?? ''}`,
          ),
        ),
      ].join('\n'),
    };
    const before = this.#compared;
    const isUnchanged =
      before !== null &&
      before.read === read &&
      before.table === compared.table &&
      before.longestLifeMs === compared.longestLifeMs &&
      before.versions === compared.versions;
    if (isUnchanged) {
      return true;
    }
    const isComplete = isSameHistory(read.history, this.#observed(read));
    this.#compared = isComplete ? compared : null;
    return isComplete;
  }

  #startUpdate(): void {
    const table = this.#table;
    if (!table || this.#isBusy || !this.#isCurrent) {
      return;
    }
    this.#isBusy = true;
    this.#update(table)
      .catch(() => {
        this.#pausedUntilMs = this.context.clock() + RETRY_DELAY_MS;
      })
      .finally(() => {
        this.#isBusy = false;
      });
  }

  /** Reads the row, and writes it if it still lacks something. */
  async #update(table: ConditionalTable): Promise<void> {
    const read = await this.#readFrom(table);
    this.#read = read;
    const history = this.#observed(read);
    if (isSameHistory(read.history, history)) {
      return;
    }
    const written = await table.writeIf(
      keyOf(read.era),
      history,
      read.rowVersion,
    );
    if (written) {
      const { version, storeMs } = written;
      this.#read = {
        history,
        rowVersion: version,
        era: eraOf(version),
        storeMs,
        atMs: this.context.clock(),
      };
    }
  }

  async #readFrom(table: ConditionalTable): Promise<ReadHistory> {
    const { rows, version, storeMs } = await table.read();
    const era = eraOf(version);
    const row = rows.find(({ key }) => key === keyOf(era));
    return {
      history: parseStreamHistory(row?.content ?? null),
      rowVersion: row?.version ?? 0,
      era,
      storeMs,
      atMs: this.context.clock(),
    };
  }

  /** Whether the view is recent enough to be written. */
  get #isCurrent(): boolean {
    const { board } = this.context.router;
    const { freshWithinMs } = this.context.settings;
    return (
      board.table !== null &&
      board.table.cfg.routes.some(hasResumableStreams) &&
      determineViewState(board, freshWithinMs) === 'current'
    );
  }

  get #delayMs(): number {
    const { membership } = this.context;
    const rank = rankOf(membership.self.instance, membership.instances);
    return Math.min(MAX_DELAY_MS, DELAY_PER_RANK_MS * rank);
  }

  get #knownLifeMs(): number {
    return this.#read?.history?.longestLifeMs ?? 0;
  }

  #observed({ history, storeMs }: ReadHistory): StreamHistory {
    const { board } = this.context.router;
    return observeStreams(history, {
      routes: board.table?.cfg.routes ?? [],
      replicas: board.replicas.replicas,
      longestLifeMs: this.#longestLifeMs,
      // Whatever is no longer in the view was there before one of these times.
      storeMs: Math.max(
        storeMs,
        board.replicas.asOfMs,
        board.configurationAsOfMs,
      ),
    });
  }

  #ageOf(fromMs: (history: StreamHistory) => number): number {
    const read = this.#read;
    if (!read?.history) {
      return 0;
    }
    const elapsedMs = this.context.clock() - read.atMs;
    return Math.max(0, read.storeMs + elapsedMs - fromMs(read.history));
  }
}
