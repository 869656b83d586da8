import type { ConfigurationVariant } from './configurationVariants.js';
import { REGULAR_VARIANT } from './configurationVariants.js';
import type { ConfigurationWrite, SoakKind } from './evidence.js';
import type { SoakRoute, SoakShare, SoakStore } from './SoakEnvironment.js';
import { soakNow } from './soakNow.js';
import { SERVICES } from './SoakFleet.js';
import { SOAK_BOUNDS } from './soakBounds.js';

/** Maximum number of probe routes in a configuration; older ones are removed. */
const MAX_PROBE_ROUTES = 3;
/** Maximum increment between consecutive configuration versions. */
const MAX_VERSION_STEP = 4;
const [STOCK = '', WORDS = ''] = SERVICES;
/** Initial keys of each organisation, which stay valid for the whole run. */
const INITIAL_KEYS: readonly (readonly [string, readonly string[]])[] = [
  ['org-1', ['key-1']],
  ['org-2', ['key-2']],
];

/** Kinds of requests with their usual service. */
const USUAL_SERVICES: readonly (readonly [SoakKind, string])[] = [
  ['safe', STOCK],
  ['unsafe', STOCK],
  ['stream', WORDS],
  ['resumable', WORDS],
];

/** Returns the kinds of requests that usually go to a service and may be repeated. */
export function repeatableKindsOf(service: string): readonly SoakKind[] {
  return USUAL_SERVICES.filter(
    ([kind, usual]) =>
      usual === service && (kind === 'safe' || kind === 'resumable'),
  ).map(([kind]) => kind);
}

/** Returns the services of a route, given its usual one. */
function sharesOf(
  service: string,
  { sharing, ownWeight }: ConfigurationVariant,
): readonly SoakShare[] {
  const other = service === STOCK ? WORDS : STOCK;
  switch (sharing) {
    case 'merged':
      return [{ service: STOCK, weight: 1 }];
    case 'moved':
      return [{ service: other, weight: 1 }];
    case 'own':
      return [{ service, weight: 1 }];
    case 'split':
      return [
        { service, weight: ownWeight },
        { service: other, weight: 1 - ownWeight },
      ];
  }
}

/**
 * Returns the routes of a configuration: one for each kind of request, and a probe
 * route for each of the given versions.
 */
function routesOf(
  versions: readonly number[],
  variant: ConfigurationVariant,
): readonly SoakRoute[] {
  const common = {
    attempts: SOAK_BOUNDS.attempts,
    timeoutMs: variant.timeoutMs,
  };
  return [
    ...USUAL_SERVICES.filter(([kind]) => kind !== variant.droppedKind).map(
      ([kind, service]): SoakRoute => ({
        name: kind,
        prefix: `/${kind}/`,
        kind,
        shares: sharesOf(service, variant),
        ...common,
      }),
    ),
    ...versions.map((version): SoakRoute => ({
      name: `probe-${version}`,
      prefix: `/v${version}/`,
      kind: 'probe',
      shares: sharesOf(STOCK, variant),
      ...common,
    })),
  ];
}

/** Simulated operator, which writes configurations and adds keys. */
export class SoakOperator {
  /** Configurations written so far, in order of writing. */
  readonly configurationWrites: ConfigurationWrite[] = [];
  readonly #keys = new Map<string, readonly string[]>(INITIAL_KEYS);
  /** Text that ends the second keys of the latest configuration; null if it has none. */
  #secondKeySuffix: string | null = null;

  constructor(
    private readonly store: SoakStore,
    private readonly random: () => number,
  ) {}

  /** The most recently acknowledged configuration. */
  get latestWrite(): ConfigurationWrite | undefined {
    return this.configurationWrites.at(-1);
  }

  /**
   * Returns a key of an organisation: the second one if the latest configuration has one,
   * otherwise the one that stays valid for the whole run.
   */
  keyOf(organisation: string): string {
    return this.#secondKeySuffix === null
      ? (this.#keys.get(organisation)?.[0] ?? '')
      : organisation + this.#secondKeySuffix;
  }

  /** Writes a new configuration with its own probe route. */
  configure(variant = REGULAR_VARIANT): void {
    const step = 1 + Math.floor(MAX_VERSION_STEP * this.random());
    const version = (this.latestWrite?.version ?? 0) + step;
    const versions = [
      ...this.configurationWrites.map(write => write.version),
      version,
    ].slice(-MAX_PROBE_ROUTES);
    this.#markRemovedExcept(versions);
    const suffix = variant.hasSecondKeys
      ? (this.#secondKeySuffix ?? `-second-${version}`)
      : null;
    this.store.writeConfiguration({
      version,
      routes: routesOf(versions, variant),
      services: variant.sharing === 'merged' ? [STOCK] : SERVICES,
      idleTimeoutMs: variant.idleTimeoutMs,
      keys: new Map(
        [...this.#keys].map(([organisation, keys]) => [
          organisation,
          suffix === null ? keys : [...keys, organisation + suffix],
        ]),
      ),
    });
    this.#secondKeySuffix = suffix;
    this.configurationWrites.push({
      version,
      ackedMs: soakNow(),
      shortestTimeoutMs: variant.timeoutMs,
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
