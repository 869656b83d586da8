import { createHash } from 'node:crypto';
import { request } from 'undici';
import type { EventLog } from '@jujubecroft/events';
import { SILENT_LOG } from '@jujubecroft/events';
import type { RunningInstance } from '@jujubecroft/instance';
import { startInstance } from '@jujubecroft/instance';
import type {
  Deployment,
  InstanceSettings,
  SettingsKind,
  SettingsOf,
} from '@jujubecroft/settings';
import { settingsSchema } from '@jujubecroft/settings';
import type { RunningServer } from '@jujubecroft/stand-ins';
import {
  startEngine,
  startPlatform,
  startService,
} from '@jujubecroft/stand-ins';
import { applyDeployment, OperatorConnection } from '@jujubecroft/operator';
import { assertDefined } from '@jujubecroft/types';

import type { DemoServers } from './demoDeployment.js';

/** Number of servers of each kind in a local fleet, and their settings. */
export interface FleetSize {
  readonly instances: number;
  readonly engines: number;
  readonly services: number;
  /** Engine model settings that replace the defaults, for every engine. */
  readonly engineModel?: Readonly<Record<string, number>>;
  /**
   * Delay until a change of the platform's instance list is visible; 500 ms by
   * default.
   */
  readonly instanceListLagMs?: number;
}

const LOOPBACK = { host: '127.0.0.1', port: 0 };
const FAILURE_DOMAINS = ['split-a', 'split-b', 'solin'] as const;
const POLL_INTERVAL_MS = 50;
const IN_FORCE_TIMEOUT_MS = 10_000;

/** Operator token that every instance of a local fleet accepts. */
export const FLEET_TOKEN = 'local-fleet-token';

/** Assigns failure domains round-robin. */
const failureDomainOf = (index: number): string =>
  FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? FAILURE_DOMAINS[0];

type UnparsedSettings<K> = Readonly<Record<string, unknown>> & {
  readonly kind: K;
};

function parseSettings<K extends SettingsKind>(
  raw: UnparsedSettings<K>,
): SettingsOf<K> {
  return settingsSchema.parse(raw) as SettingsOf<K>;
}

/**
 * Platform, engines, services and instances, all in one process on the loopback
 * interface.
 */
export class LocalFleet {
  readonly engines: RunningServer[] = [];
  readonly services: RunningServer[] = [];
  readonly instances: RunningInstance[] = [];
  #platform: RunningServer | null = null;

  constructor(private readonly log: EventLog = SILENT_LOG) {}

  /** Base URL of the platform stand-in; throws before `start`. */
  get platformUrl(): string {
    return assertDefined(this.#platform, 'the fleet was started').url;
  }

  /** Base URLs of the engines and services. */
  get servers(): DemoServers {
    return {
      engines: this.engines.map(({ url }) => url),
      services: this.services.map(({ url }) => url),
    };
  }

  /** Base URLs that callers send requests to, one per instance. */
  get callerUrls(): readonly string[] {
    return this.instances.map(({ callerUrl }) => callerUrl);
  }

  /**
   * Starts the platform, the backend servers and then the instances one by one.
   */
  async start(size: FleetSize): Promise<void> {
    this.#platform = await startPlatform(
      parseSettings({
        kind: 'platform',
        listen: LOOPBACK,
        instanceListLagMs: size.instanceListLagMs ?? 500,
      }),
    );
    await this.#startServers(size);
    for (let index = 0; index < size.instances; index += 1) {
      await this.addInstance(index);
    }
  }

  /** Starts one more instance and adds it to the platform's instance list. */
  async addInstance(index: number): Promise<RunningInstance> {
    const running = await startInstance(this.settingsFor(index), this.log);
    this.instances.push(running);
    await this.publishInstanceList();
    return running;
  }

  /** Settings of the instance with a given index, on free ports. */
  settingsFor(index: number): InstanceSettings {
    return parseSettings({
      kind: 'instance',
      instance: `entry-${index + 1}`,
      failureDomain: failureDomainOf(index),
      callers: LOOPBACK,
      control: LOOPBACK,
      platformUrl: this.platformUrl,
      operators: [
        {
          name: 'local-operator',
          tokenSha256: createHash('sha256').update(FLEET_TOKEN).digest('hex'),
        },
      ],
    });
  }

  /** Sets the platform's instance list to the instances of this fleet. */
  async publishInstanceList(): Promise<void> {
    const listed = this.instances.map(({ context }) => ({
      id: context.settings.instance,
      failureDomain: context.settings.failureDomain,
      callerAddress: context.membership.self.callerAddress,
      peerAddress: context.membership.self.peerAddress,
      state: 'live',
    }));
    await this.control(this.platformUrl, 'PUT', '/control/instances', listed);
  }

  /** Sets fault switches of the stand-in at a URL. */
  async setFaults(url: string, faults: object): Promise<void> {
    await this.control(url, 'POST', '/control/faults', faults);
  }

  /** Sends a JSON body to a control endpoint and discards the reply. */
  async control(
    url: string,
    method: 'POST' | 'PUT',
    path: string,
    body: object,
  ): Promise<void> {
    const res = await request(`${url}${path}`, {
      method,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    await res.body.dump();
  }

  /** Reads JSON from an endpoint of a stand-in. */
  async read(url: string, path: string): Promise<unknown> {
    const res = await request(`${url}${path}`);
    return res.body.json();
  }

  /** Declares a deployment and waits until it is in force on every instance. */
  async apply(deployment: Deployment): Promise<void> {
    const connection = this.operator(0);
    const revision = await applyDeployment(connection, deployment);
    connection.close();
    await this.waitUntilInForce(revision);
  }

  /** Opens an operator connection to the instance with a given index. */
  operator(index: number): OperatorConnection {
    const instance = assertDefined(this.instances[index], 'a started instance');
    return new OperatorConnection(instance.controlAddress, FLEET_TOKEN);
  }

  /**
   * Waits until every instance has applied a revision or a later one.
   *
   * @param revision - configuration revision
   * @throws Error if an instance has not applied it within 10 s
   */
  async waitUntilInForce(revision: number): Promise<void> {
    const deadlineMs = Date.now() + IN_FORCE_TIMEOUT_MS;
    while (!this.#isInForce(revision)) {
      if (Date.now() > deadlineMs) {
        throw new Error(`Revision ${revision} is not in force everywhere.`);
      }
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Kills the instances, then stops all stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.instances.map(instance => instance.kill()));
    await Promise.all(
      [...this.engines, ...this.services].map(server => server.stop()),
    );
    await this.#platform?.stop();
  }

  #isInForce(revision: number): boolean {
    return this.instances.every(
      ({ context }) => context.host.configuration.revision >= revision,
    );
  }

  async #startServers(size: FleetSize): Promise<void> {
    for (let index = 0; index < size.engines; index += 1) {
      const settings = parseSettings({
        kind: 'engine',
        id: `engine-${index + 1}`,
        listen: LOOPBACK,
        models: ['chef-small'],
        model: size.engineModel ?? {},
        seed: index + 1,
      });
      this.engines.push(await startEngine(settings));
    }
    for (let index = 0; index < size.services; index += 1) {
      const settings = parseSettings({
        kind: 'service',
        id: `stock-${index + 1}`,
        listen: LOOPBACK,
        services: ['stock'],
        seed: index + 1,
      });
      this.services.push(await startService(settings));
    }
  }
}
