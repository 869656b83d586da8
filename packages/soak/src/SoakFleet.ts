import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';

import { FaultLink } from './faults/FaultLink.js';
import { PeerFaultLink } from './faults/PeerFaultLink.js';
import { SoakProcess } from './processes/SoakProcess.js';
import type { ReplicaNote, SoakBounds } from './evidence.js';
import type {
  SoakEnvironment,
  SoakGatewayPorts,
  SoakReplicaConfig,
  SoakStore,
} from './SoakEnvironment.js';

/** Number of processes of each kind, and where they run. */
export interface SoakFleetOptions {
  readonly gateways: number;
  readonly replicas: number;
  /** Folder for the settings, logs and notes of the processes. */
  readonly folder: string;
  /**
   * Second octet of the loopback addresses. Concurrent runs need different values,
   * since the ports are fixed.
   */
  readonly networkOctet: number;
  readonly seed: number;
  /**
   * Whether messages between gateways pass through links that can fail. In a large
   * fleet without such faults, relaying them takes more time than one process has.
   */
  readonly relaysPeers: boolean;
  /** Whether gateways run with links to replicas that can be cut. */
  readonly cutsPaths: boolean;
}

/** Names of the services that the replicas run. */
export const SERVICES: readonly string[] = ['stock', 'words'];
/** Options of Node.js in deployments; the code cache is valid only with them. */
const GATEWAY_NODE_ARGS: readonly string[] = [
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  '--interrupt-budget=300000',
];
const SOFTWARE_VERSIONS: readonly string[] = ['v1.1', 'v1.2'];
const FAILURE_DOMAIN_COUNT = 3;
const LOOPBACK_HOST = '127.0.0.1';
const GATEWAY_PORTS: SoakGatewayPorts = {
  callers: 18_227,
  readiness: 18_220,
  directory: 18_224,
  peers: 17_340,
};
const FIRST_REPLICA_PORT = 19_000;
/** Maximum number of seed addresses in a gateway's settings. */
const MAX_SEEDS = 3;

/**
 * Returns the service of one incarnation of a replica slot.
 *
 * A restarted replica changes to the other service, so that its address is reused
 * by another service. The first slot of each service is exempt, so that no service
 * is left without a replica.
 *
 * @param index - index of the replica slot
 * @param incarnation - number of the process in this slot, from 1
 */
export function serviceOf(index: number, incarnation: number): string {
  const offset = index < SERVICES.length ? 0 : incarnation;
  return SERVICES[(index + offset) % SERVICES.length] ?? '';
}

/**
 * Returns the software version of one incarnation of a replica slot. Each service has
 * replicas of both versions, and a slot changes its version with each restart.
 *
 * @param index - index of the replica slot
 * @param incarnation - number of the process in this slot, from 1
 */
export function softwareVersionOf(index: number, incarnation: number): string {
  const turn = Math.floor(index / SERVICES.length) + incarnation;
  return SOFTWARE_VERSIONS[turn % SOFTWARE_VERSIONS.length] ?? '';
}

/** One gateway process with its fault links. */
export interface SoakGateway {
  readonly index: number;
  readonly host: string;
  readonly program: SoakProcess;
  /** Link from the gateway to the store. */
  readonly storeLink: FaultLink;
  /** Link from the other gateways to this one. */
  readonly peerLink: PeerFaultLink;
  /** Rewrites the settings file with a change that has no effect on the gateway. */
  readonly rewriteSettings: () => void;
}

/** One replica slot: an address at which successive replica processes run. */
export interface SoakReplicaSlot {
  readonly index: number;
  readonly program: SoakProcess;
  /** Link from the gateways to the replica. */
  readonly link: FaultLink;
  /** Name of the current incarnation. */
  readonly replica: () => string;
}

/** The store, replicas and gateways of one soak, with fault links between them. */
export class SoakFleet {
  readonly gateways: SoakGateway[] = [];
  readonly replicas: SoakReplicaSlot[] = [];
  #noteFiles: string[] = [];

  private constructor(
    readonly store: SoakStore,
    private readonly environment: SoakEnvironment,
    private readonly options: SoakFleetOptions,
    private readonly bounds: SoakBounds,
  ) {}

  /** Starts the store and all processes. Does not wait until they are ready. */
  static async start(
    environment: SoakEnvironment,
    options: SoakFleetOptions,
    bounds: SoakBounds,
  ): Promise<SoakFleet> {
    mkdirSync(options.folder, { recursive: true });
    const fleet = new SoakFleet(
      await environment.startStore(),
      environment,
      options,
      bounds,
    );
    for (let index = 0; index < options.replicas; index += 1) {
      await fleet.#addReplica(index);
    }
    for (let index = 0; index < options.gateways; index += 1) {
      await fleet.#addGateway(index);
    }
    return fleet;
  }

  /** Returns the address at which callers reach a gateway. */
  addressOf(gateway: SoakGateway): string {
    return `${gateway.host}:${GATEWAY_PORTS.callers}`;
  }

  /** Returns the gateway that callers reach at an address. */
  gatewayAt(address: string): SoakGateway | undefined {
    return this.gateways.find(gateway => this.addressOf(gateway) === address);
  }

  /** Returns the URL of one of a gateway's endpoints. */
  urlOf({ host }: SoakGateway, endpoint: 'directory' | 'readiness'): string {
    const pathname =
      endpoint === 'directory'
        ? this.environment.addressesPath
        : this.environment.readinessPath;
    return `http://${host}:${GATEWAY_PORTS[endpoint]}${pathname}`;
  }

  /** Reads the notes that all replicas have written so far. */
  notes(): readonly ReplicaNote[] {
    return this.#noteFiles
      .flatMap(file => readFileSync(file, 'utf8').split('\n'))
      .filter(line => line !== '')
      .map(line => JSON.parse(line) as ReplicaNote);
  }

  /** Kills all processes, closes the links and stops the store. */
  async stop(): Promise<void> {
    const programs = [...this.gateways, ...this.replicas];
    await Promise.all(programs.map(({ program }) => program.kill()));
    this.gateways.forEach(({ storeLink, peerLink }) => {
      storeLink.close();
      if (this.options.relaysPeers) {
        peerLink.close();
      }
    });
    this.replicas.forEach(({ link }) => {
      link.close();
    });
    await this.store.close();
  }

  #hostOf(index: number): string {
    return `127.${this.options.networkOctet}.${Math.floor(index / 200)}.${(index % 200) + 1}`;
  }

  #pathOf(name: string): string {
    return path.join(this.options.folder, name);
  }

  async #addReplica(index: number): Promise<void> {
    const port = FIRST_REPLICA_PORT + index;
    const host = this.#hostOf(0);
    const link = new FaultLink(host, port);
    const linkPort = await link.listen(LOOPBACK_HOST);
    const notesFile = this.#pathOf(`replica-${index}.notes`);
    writeFileSync(notesFile, '');
    this.#noteFiles = [...this.#noteFiles, notesFile];
    const nameOf = (incarnation: number): string => `r-${index}-${incarnation}`;
    const onRunning = (isRunning: boolean): void => {
      if (isRunning) {
        void link.acceptWithTarget();
      } else {
        link.refuse();
      }
    };
    const program = new SoakProcess(incarnation => {
      const config: SoakReplicaConfig = {
        replica: nameOf(incarnation),
        service: serviceOf(index, incarnation),
        softwareVersion: softwareVersionOf(index, incarnation),
        host,
        port,
        entryAddress: `${LOOPBACK_HOST}:${linkPort}`,
        storeUrl: `http://${this.store.host}:${this.store.port}`,
        failureDomain: `domain-${index % FAILURE_DOMAIN_COUNT}`,
        notesFile,
        seed: this.options.seed + 31 * index + incarnation,
      };
      const file = this.#pathOf(`replica-${index}.json`);
      writeFileSync(file, JSON.stringify(config));
      return {
        args: ['soak', 'replica', file],
        outFile: this.#pathOf(`replica-${index}.log`),
      };
    }, onRunning);
    this.replicas.push({
      index,
      program,
      link,
      replica: () => nameOf(program.incarnation),
    });
    program.start();
  }

  async #addGateway(index: number): Promise<void> {
    const host = this.#hostOf(index + 1);
    const storeLink = new FaultLink(this.store.host, this.store.port);
    const storePort = await storeLink.listen(LOOPBACK_HOST);
    const peerLink = new PeerFaultLink(host, GATEWAY_PORTS.peers);
    const peerPort = this.options.relaysPeers
      ? await peerLink.listen(host)
      : GATEWAY_PORTS.peers;
    const peerAddress = `${host}:${peerPort}`;
    const seeds = this.gateways
      .slice(0, MAX_SEEDS)
      .map(other => `${other.host}:1`);
    const file = this.#pathOf(`gateway-${index}.json`);
    let settingsRevision = 0;
    const rewriteSettings = (): void => {
      settingsRevision += 1;
      writeFileSync(
        file,
        this.environment.settingsOf(
          {
            index,
            host,
            failureDomain: `domain-${index % FAILURE_DOMAIN_COUNT}`,
            storeAddress: `${LOOPBACK_HOST}:${storePort}`,
            peerAddress,
            seeds,
          },
          GATEWAY_PORTS,
          this.bounds,
          settingsRevision,
        ),
      );
    };
    rewriteSettings();
    const program = new SoakProcess(() => ({
      nodeArgs: GATEWAY_NODE_ARGS,
      args: [
        ...(this.options.cutsPaths ? ['soak'] : []),
        'gateway',
        '--settings',
        file,
        '--peer-address',
        peerAddress,
      ],
      outFile: this.#pathOf(`gateway-${index}.log`),
    }));
    this.gateways.push({
      index,
      host,
      program,
      storeLink,
      peerLink,
      rewriteSettings,
    });
    program.start();
  }
}
