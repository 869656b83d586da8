import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';

import { FaultLink } from './faults/FaultLink.js';
import { PeerLink } from './faults/PeerLink.js';
import { SoakProcess } from './processes/SoakProcess.js';
import type { ReplicaNote, SoakBounds } from './evidence.js';
import type {
  SoakGatewayPorts,
  SoakEnvironment,
  SoakReplicaPlace,
  SoakStore,
} from './SoakEnvironment.js';

/** How many processes of each kind, and where. */
export interface SoakSize {
  readonly gateways: number;
  readonly replicas: number;
  readonly folder: string;
  /** Second byte of the loopback addresses; runs beside each other differ. */
  readonly network: number;
  readonly seed: number;
}

export const SERVICES: readonly string[] = ['stock', 'words'];
const DOMAINS = 3;
const STORE_HOST = '127.0.0.1';
const PORTS: SoakGatewayPorts = {
  callers: 18_227,
  readiness: 18_220,
  directory: 18_224,
  peers: 17_340,
};
const REPLICA_PORT = 19_000;
const SEEDS = 3;

/**
 * Service of one run of a replica.
 *
 * Addresses are used again by replicas of other services, but for the first of
 * each service, so that none is ever left without a replica.
 *
 * @param index - of the place
 * @param incarnation - of the run, 1 for the first
 */
export function serviceOf(index: number, incarnation: number): string {
  const moves = index < SERVICES.length ? 0 : incarnation;
  return SERVICES[(index + moves) % SERVICES.length] ?? '';
}

/** One gateway with the links that lead from and to it. */
export interface SoakGateway {
  readonly index: number;
  readonly host: string;
  readonly program: SoakProcess;
  readonly storeLink: FaultLink;
  readonly peerLink: PeerLink;
  /** Writes the settings file anew, with something that changes nothing. */
  readonly touchSettings: () => void;
}

/** One place for a replica; its process may be replaced by later runs. */
export interface SoakReplicaSlot {
  readonly index: number;
  readonly program: SoakProcess;
  readonly link: FaultLink;
  /** Name of the present run. */
  readonly replica: () => string;
}

/** Store, replicas and gateways as processes, with links between them. */
export class SoakFleet {
  readonly gateways: SoakGateway[] = [];
  readonly replicas: SoakReplicaSlot[] = [];
  #noteFiles: string[] = [];

  private constructor(
    readonly store: SoakStore,
    private readonly environment: SoakEnvironment,
    private readonly size: SoakSize,
    private readonly bounds: SoakBounds,
  ) {}

  static async start(
    environment: SoakEnvironment,
    size: SoakSize,
    bounds: SoakBounds,
  ): Promise<SoakFleet> {
    mkdirSync(size.folder, { recursive: true });
    const fleet = new SoakFleet(
      await environment.startStore(),
      environment,
      size,
      bounds,
    );
    for (let index = 0; index < size.replicas; index += 1) {
      await fleet.#addReplica(index);
    }
    for (let index = 0; index < size.gateways; index += 1) {
      await fleet.#addGateway(index);
    }
    return fleet;
  }

  /** Address at which callers reach a gateway. */
  addressOf(gateway: SoakGateway): string {
    return `${gateway.host}:${PORTS.callers}`;
  }

  /** Gateway that callers reach at an address. */
  gatewayAt(address: string): SoakGateway | undefined {
    return this.gateways.find(gateway => this.addressOf(gateway) === address);
  }

  urlOf({ host }: SoakGateway, what: 'directory' | 'readiness'): string {
    const path_ =
      what === 'directory'
        ? this.environment.addressesPath
        : this.environment.readinessPath;
    return `http://${host}:${PORTS[what]}${path_}`;
  }

  /** Everything that replicas wrote down. */
  notes(): readonly ReplicaNote[] {
    return this.#noteFiles
      .flatMap(file => readFileSync(file, 'utf8').split('\n'))
      .filter(line => line !== '')
      .map(line => JSON.parse(line) as ReplicaNote);
  }

  async stop(): Promise<void> {
    const programs = [...this.gateways, ...this.replicas];
    await Promise.all(programs.map(({ program }) => program.kill()));
    this.gateways.forEach(({ storeLink, peerLink }) => {
      storeLink.close();
      peerLink.close();
    });
    this.replicas.forEach(({ link }) => {
      link.close();
    });
    await this.store.close();
  }

  #host(index: number): string {
    return `127.${this.size.network}.${Math.floor(index / 200)}.${(index % 200) + 1}`;
  }

  #file(name: string): string {
    return path.join(this.size.folder, name);
  }

  async #addReplica(index: number): Promise<void> {
    const port = REPLICA_PORT + index;
    const host = this.#host(0);
    const link = new FaultLink(host, port);
    const linkPort = await link.listen(STORE_HOST);
    const notesFile = this.#file(`replica-${index}.notes`);
    writeFileSync(notesFile, '');
    this.#noteFiles = [...this.#noteFiles, notesFile];
    const nameOf = (incarnation: number): string => `r-${index}-${incarnation}`;
    const program = new SoakProcess(incarnation => {
      const place: SoakReplicaPlace = {
        replica: nameOf(incarnation),
        service: serviceOf(index, incarnation),
        host,
        port,
        entryAddress: `${STORE_HOST}:${linkPort}`,
        storeUrl: `http://${this.store.host}:${this.store.port}`,
        failureDomain: `domain-${index % DOMAINS}`,
        notesFile,
        seed: this.size.seed + 31 * index + incarnation,
      };
      const file = this.#file(`replica-${index}.json`);
      writeFileSync(file, JSON.stringify(place));
      return {
        args: ['soak', 'replica', file],
        outFile: this.#file(`replica-${index}.log`),
      };
    });
    this.replicas.push({
      index,
      program,
      link,
      replica: () => nameOf(program.incarnation),
    });
    program.start();
  }

  async #addGateway(index: number): Promise<void> {
    const host = this.#host(index + 1);
    const storeLink = new FaultLink(this.store.host, this.store.port);
    const storePort = await storeLink.listen(STORE_HOST);
    const peerLink = new PeerLink(host, PORTS.peers);
    const peerPort = await peerLink.listen(host);
    const peerAddress = `${host}:${peerPort}`;
    const seeds = this.gateways.slice(0, SEEDS).map(other => `${other.host}:1`);
    const file = this.#file(`gateway-${index}.json`);
    let note = 0;
    const touchSettings = (): void => {
      note += 1;
      writeFileSync(
        file,
        this.environment.settingsOf(
          {
            index,
            host,
            failureDomain: `domain-${index % DOMAINS}`,
            storeAddress: `${STORE_HOST}:${storePort}`,
            peerAddress,
            seeds,
          },
          PORTS,
          this.bounds,
          note,
        ),
      );
    };
    touchSettings();
    const program = new SoakProcess(() => ({
      args: ['gateway', '--settings', file, '--peer-address', peerAddress],
      outFile: this.#file(`gateway-${index}.log`),
    }));
    this.gateways.push({
      index,
      host,
      program,
      storeLink,
      peerLink,
      touchSettings,
    });
    program.start();
  }
}
