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

/** How many of each a local fleet has. */
export interface FleetSize {
  readonly instances: number;
  readonly engines: number;
  readonly services: number;
  /** Settings of every engine's model that differ from the defaults. */
  readonly engineModel?: Readonly<Record<string, number>>;
  readonly instanceListLagMs?: number;
}

const LOOPBACK = { host: '127.0.0.1', port: 0 };
const DOMAINS = ['split-a', 'split-b', 'solin'] as const;
const POLL_MS = 50;
const IN_FORCE_TIMEOUT_MS = 10_000;

export const FLEET_TOKEN = 'local-fleet-token';

const domainOf = (index: number): string =>
  DOMAINS[index % DOMAINS.length] ?? DOMAINS[0];

type RawSettings<K> = Readonly<Record<string, unknown>> & { readonly kind: K };

function settingsOf<K extends SettingsKind>(
  raw: RawSettings<K>,
): SettingsOf<K> {
  return settingsSchema.parse(raw) as SettingsOf<K>;
}

/** Platform, engines, services and instances in one process on loopback. */
export class LocalFleet {
  readonly engines: RunningServer[] = [];
  readonly services: RunningServer[] = [];
  readonly instances: RunningInstance[] = [];
  #platform: RunningServer | null = null;

  constructor(private readonly log: EventLog = SILENT_LOG) {}

  get platformUrl(): string {
    return assertDefined(this.#platform, 'the fleet was started').url;
  }

  get servers(): DemoServers {
    return {
      engines: this.engines.map(({ url }) => url),
      services: this.services.map(({ url }) => url),
    };
  }

  get callerUrls(): readonly string[] {
    return this.instances.map(({ callerUrl }) => callerUrl);
  }

  async start(size: FleetSize): Promise<void> {
    this.#platform = await startPlatform(
      settingsOf({
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

  /** Starts one more instance and puts it on the platform's list. */
  async addInstance(index: number): Promise<RunningInstance> {
    const running = await startInstance(this.settingsFor(index), this.log);
    this.instances.push(running);
    await this.publishInstances();
    return running;
  }

  settingsFor(index: number): InstanceSettings {
    return settingsOf({
      kind: 'instance',
      instance: `entry-${index + 1}`,
      failureDomain: domainOf(index),
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

  /** Tells the platform stand-in which instances exist. */
  async publishInstances(): Promise<void> {
    const listed = this.instances.map(({ context }) => ({
      id: context.settings.instance,
      failureDomain: context.settings.failureDomain,
      callerAddress: context.membership.self.callerAddress,
      peerAddress: context.membership.self.peerAddress,
      state: 'live',
    }));
    await this.control(this.platformUrl, 'PUT', '/control/instances', listed);
  }

  /** Sets fault switches of any stand-in. */
  async setFaults(url: string, faults: object): Promise<void> {
    await this.control(url, 'POST', '/control/faults', faults);
  }

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

  async read(url: string, path: string): Promise<unknown> {
    const res = await request(`${url}${path}`);
    return res.body.json();
  }

  /** Declares a deployment and waits until it is in force everywhere. */
  async apply(deployment: Deployment): Promise<void> {
    const connection = this.operator(0);
    const revision = await applyDeployment(connection, deployment);
    connection.close();
    await this.whenInForce(revision);
  }

  operator(index: number): OperatorConnection {
    const instance = assertDefined(this.instances[index], 'a started instance');
    return new OperatorConnection(instance.controlAddress, FLEET_TOKEN);
  }

  async whenInForce(revision: number): Promise<void> {
    const deadline = Date.now() + IN_FORCE_TIMEOUT_MS;
    while (!this.#inForce(revision)) {
      if (Date.now() > deadline) {
        throw new Error(`Revision ${revision} is not in force everywhere.`);
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.instances.map(instance => instance.kill()));
    await Promise.all(
      [...this.engines, ...this.services].map(server => server.stop()),
    );
    await this.#platform?.stop();
  }

  #inForce(revision: number): boolean {
    return this.instances.every(
      ({ context }) => context.host.configuration.revision >= revision,
    );
  }

  async #startServers(size: FleetSize): Promise<void> {
    for (let index = 0; index < size.engines; index += 1) {
      const settings = settingsOf({
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
      const settings = settingsOf({
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
