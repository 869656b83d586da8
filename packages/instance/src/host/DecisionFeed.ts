import type { DecisionEvent } from '@jujubecroft/types';

/** Which decisions a watcher wants; empty fields match everything. */
export interface DecisionFilter {
  readonly requestClass: string;
  readonly organisation: string;
  readonly request: string;
}

type Watcher = (event: DecisionEvent) => void;

const matches = (filter: DecisionFilter, event: DecisionEvent): boolean =>
  [
    [filter.requestClass, event.requestClass],
    [filter.organisation, event.organisation],
    [filter.request, event.request],
  ].every(([wanted, actual]) => wanted === '' || wanted === actual);

/** Passes decisions on to whoever watches at the moment. */
export class DecisionFeed {
  readonly #watchers = new Set<Watcher>();

  get isWatched(): boolean {
    return this.#watchers.size > 0;
  }

  publish(event: DecisionEvent): void {
    this.#watchers.forEach(watcher => {
      watcher(event);
    });
  }

  /**
   * Adds a watcher.
   *
   * @param filter - decisions it wants
   * @param watcher - called for each of them, at once
   * @returns a function that removes the watcher
   */
  watch(filter: DecisionFilter, watcher: Watcher): () => void {
    const filtered: Watcher = event => {
      if (matches(filter, event)) {
        watcher(event);
      }
    };
    this.#watchers.add(filtered);
    return () => this.#watchers.delete(filtered);
  }
}
