import type { Configured } from './evidence.js';
import type { SoakRoute, SoakStore } from './SoakEnvironment.js';
import { soakNow } from './soakNow.js';
import { SERVICES } from './SoakFleet.js';
import { SOAK_BOUNDS } from './soakBounds.js';

/** Probes' routes that stand at once; older ones are dropped. */
const KEPT_PROBES = 3;
const ROUTE_TIMEOUT_MS = 5000;
/** Versions grow by one to so many at a time. */
const MAX_VERSION_STEP = 4;
/** Keys of each organisation at first; callers use these. */
const FIRST_KEYS: readonly (readonly [string, readonly string[]])[] = [
  ['org-1', ['key-1']],
  ['org-2', ['key-2']],
];

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

/** Plays the operator, who changes configurations and keys. */
export class SoakOperator {
  readonly configured: Configured[] = [];
  readonly #keys = new Map<string, readonly string[]>(FIRST_KEYS);

  constructor(
    private readonly store: SoakStore,
    private readonly random: () => number,
  ) {}

  /** The configuration that was acknowledged last. */
  get newest(): Configured | undefined {
    return this.configured.at(-1);
  }

  /** A key of an organisation that stays in force for the whole run. */
  keyOf(organisation: string): string {
    return this.#keys.get(organisation)?.[0] ?? '';
  }

  /** Writes a new configuration, with a route of its own to ask for. */
  configure(): void {
    const step = 1 + Math.floor(MAX_VERSION_STEP * this.random());
    const version = (this.newest?.version ?? 0) + step;
    const versions = [
      ...this.configured.map(known => known.version),
      version,
    ].slice(-KEPT_PROBES);
    this.#dropAllBut(versions);
    this.store.configure({
      version,
      routes: routesOf(versions),
      services: SERVICES,
      keys: this.#keys,
    });
    this.configured.push({ version, ackedMs: soakNow(), droppedMs: Infinity });
  }

  /** Gives one organisation another key beside those that it has. */
  addKey(): void {
    const name = this.random() < 0.5 ? 'org-1' : 'org-2';
    const added = `${name}-key-${this.newest?.version ?? 0}`;
    this.#keys.set(name, [...(this.#keys.get(name) ?? []), added]);
    this.configure();
  }

  /** Whoever asks at this very moment may meet either configuration. */
  #dropAllBut(versions: readonly number[]): void {
    const nowMs = soakNow();
    this.configured
      .filter(
        ({ version, droppedMs }) =>
          !versions.includes(version) && droppedMs === Infinity,
      )
      .forEach(dropped => {
        dropped.droppedMs = nowMs;
      });
  }
}
