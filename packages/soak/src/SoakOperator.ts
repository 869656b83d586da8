import type { ConfigurationWrite } from './evidence.js';
import type { SoakRoute, SoakStore } from './SoakEnvironment.js';
import { soakNow } from './soakNow.js';
import { SERVICES } from './SoakFleet.js';
import { SOAK_BOUNDS } from './soakBounds.js';

/** Maximum number of probe routes in a configuration; older ones are removed. */
const MAX_PROBE_ROUTES = 3;
const ROUTE_TIMEOUT_MS = 5000;
/** Maximum increment between consecutive configuration versions. */
const MAX_VERSION_STEP = 4;
/** Initial keys of each organisation. Callers use these for the whole run. */
const INITIAL_KEYS: readonly (readonly [string, readonly string[]])[] = [
  ['org-1', ['key-1']],
  ['org-2', ['key-2']],
];

/**
 * Returns the routes of a configuration: one for each kind of request, and a probe
 * route for each of the given versions.
 */
function routesOf(versions: readonly number[]): readonly SoakRoute[] {
  const common = {
    attempts: SOAK_BOUNDS.attempts,
    timeoutMs: ROUTE_TIMEOUT_MS,
  };
  const [stock = '', words = ''] = SERVICES;
  return [
    { name: 'safe', prefix: '/safe/', kind: 'safe', service: stock, ...common },
    {
      name: 'unsafe',
      prefix: '/unsafe/',
      kind: 'unsafe',
      service: stock,
      ...common,
    },
    {
      name: 'stream',
      prefix: '/stream/',
      kind: 'stream',
      service: words,
      ...common,
    },
    {
      name: 'resumable',
      prefix: '/resumable/',
      kind: 'resumable',
      service: words,
      ...common,
    },
    ...versions.map((version): SoakRoute => ({
      name: `probe-${version}`,
      prefix: `/v${version}/`,
      kind: 'probe',
      service: stock,
      ...common,
    })),
  ];
}

/** Simulated operator, which writes configurations and adds keys. */
export class SoakOperator {
  /** Configurations written so far, in order of writing. */
  readonly configurationWrites: ConfigurationWrite[] = [];
  readonly #keys = new Map<string, readonly string[]>(INITIAL_KEYS);

  constructor(
    private readonly store: SoakStore,
    private readonly random: () => number,
  ) {}

  /** The most recently acknowledged configuration. */
  get latestWrite(): ConfigurationWrite | undefined {
    return this.configurationWrites.at(-1);
  }

  /** Returns a key of an organisation that stays valid for the whole run. */
  keyOf(organisation: string): string {
    return this.#keys.get(organisation)?.[0] ?? '';
  }

  /** Writes a new configuration with its own probe route. */
  configure(): void {
    const step = 1 + Math.floor(MAX_VERSION_STEP * this.random());
    const version = (this.latestWrite?.version ?? 0) + step;
    const versions = [
      ...this.configurationWrites.map(write => write.version),
      version,
    ].slice(-MAX_PROBE_ROUTES);
    this.#markRemovedExcept(versions);
    this.store.writeConfiguration({
      version,
      routes: routesOf(versions),
      services: SERVICES,
      keys: this.#keys,
    });
    this.configurationWrites.push({
      version,
      ackedMs: soakNow(),
      routeRemovedMs: Infinity,
    });
  }

  /** Adds a key to one organisation. Its other keys stay valid. */
  addKey(): void {
    const name = this.random() < 0.5 ? 'org-1' : 'org-2';
    const added = `${name}-key-${this.latestWrite?.version ?? 0}`;
    this.#keys.set(name, [...(this.#keys.get(name) ?? []), added]);
    this.configure();
  }

  /**
   * Records the removal of all probe routes but those of the given versions.
   *
   * Called before the configuration is written, since a gateway may apply it before
   * the write is acknowledged.
   */
  #markRemovedExcept(versions: readonly number[]): void {
    const nowMs = soakNow();
    this.configurationWrites
      .filter(
        ({ version, routeRemovedMs }) =>
          !versions.includes(version) && routeRemovedMs === Infinity,
      )
      .forEach(write => {
        write.routeRemovedMs = nowMs;
      });
  }
}
