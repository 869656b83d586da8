import type { DecisionEvent } from '@jujubecroft/types';

/**
 * Selects the decisions that a watcher receives; an empty field matches any
 * value.
 */
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
  ].every(([expected, actual]) => expected === '' || expected === actual);

/** Publishes decision events to the current watchers. */
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
   * @param filter - selects the decisions
   * @param watcher - called synchronously with each selected decision
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
