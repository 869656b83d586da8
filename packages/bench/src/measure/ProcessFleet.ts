import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { request } from 'undici';
import { applyDeployment, OperatorConnection } from '@jujubecroft/operator';
import type { Deployment } from '@jujubecroft/settings';
import { ownCommand } from '@jujubecroft/stand-ins/util';

import { sha256 } from '../demo/demoDeployment.js';

/** Number of processes of each kind, and the timing of the engines. */
export interface ProcessFleetSize {
  readonly instances: number;
  readonly engines: number;
  readonly services: number;
  readonly engineModel: Readonly<Record<string, number>>;
}

const HOST = '127.0.0.1';
const TOKEN = 'process-fleet-token';
const READY_ATTEMPTS = 200;
const READY_PAUSE_MS = 50;
const OK = 200;

const wait = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/**
 * Runs platform, engines, services and instances as separate processes, for
 * measurements. Only experiments start processes; the product never does.
 */
export class ProcessFleet {
  readonly instancePids: number[] = [];
  readonly #children: ChildProcess[] = [];
  readonly #folder = mkdtempSync(path.join(tmpdir(), 'jujubecroft-'));

  /** @param basePort - first port of the range that the fleet uses */
  constructor(private readonly basePort: number) {}

  get platformUrl(): string {
    return this.#url(this.basePort);
  }

  engineUrl(index: number): string {
    return this.#url(this.basePort + 1 + index);
  }

  serviceUrl(index: number): string {
    return this.#url(this.basePort + 50 + index);
  }

  callerUrl(index: number): string {
    return this.#url(this.basePort + 100 + index);
  }

  async start(size: ProcessFleetSize): Promise<void> {
    this.#startPlatform(size.instances);
    this.#repeat(size.engines, index => {
      this.#startEngine(index, size.engineModel);
    });
    this.#repeat(size.services, index => {
      this.#startService(index);
    });
    await this.#waitUntilReady(`${this.platformUrl}/instances`);
    await Promise.all(
      Array.from({ length: size.engines }, (_, index) =>
        this.#waitUntilReady(`${this.engineUrl(index)}/load`),
      ),
    );
    this.#repeat(size.instances, index => {
      this.#startInstance(index);
    });
    await Promise.all(
      Array.from({ length: size.instances }, (_, index) =>
        this.#waitUntilReady(`${this.callerUrl(index)}/health`),
      ),
    );
  }

  async apply(deployment: Deployment): Promise<void> {
    const connection = new OperatorConnection(this.#controlAddress(0), TOKEN);
    await applyDeployment(connection, deployment);
    connection.close();
  }

  /**
   * Runs a load in a separate process.
   *
   * @param settings - settings of the load
   * @returns the JSON that the process printed
   */
  async load(settings: object): Promise<unknown> {
    const file = this.#writeSettings(`load-${this.#children.length}`, settings);
    const child = this.#spawn(['load', file, '--json']);
    const chunks: string[] = [];
    child.stdout?.setEncoding('utf8');
    child.stdout?.on('data', (chunk: string) => {
      chunks.push(chunk);
    });
    await new Promise(resolve => child.once('close', resolve));
    return JSON.parse(chunks.join(''));
  }

  stop(): void {
    this.#children.forEach(child => {
      child.kill('SIGKILL');
    });
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #startPlatform(instances: number): void {
    this.#startStandIn('stand-in', 'platform', {
      kind: 'platform',
      listen: { host: HOST, port: this.basePort },
      instances: Array.from({ length: instances }, (_, index) => ({
        id: `entry-${index}`,
        failureDomain: this.#failureDomain(index),
        callerAddress: this.callerUrl(index),
        peerAddress: this.#controlAddress(index),
      })),
    });
  }

  #startEngine(index: number, model: Readonly<Record<string, number>>): void {
    this.#startStandIn('stand-in', 'engine', {
      kind: 'engine',
      id: `engine-${index}`,
      listen: { host: HOST, port: this.basePort + 1 + index },
      models: ['chef-small'],
      model,
    });
  }

  #startService(index: number): void {
    this.#startStandIn('stand-in', 'service', {
      kind: 'service',
      id: `stock-${index}`,
      listen: { host: HOST, port: this.basePort + 50 + index },
      services: ['stock'],
    });
  }

  #startInstance(index: number): void {
    const file = this.#writeSettings(`instance-${index}`, {
      kind: 'instance',
      instance: `entry-${index}`,
      failureDomain: this.#failureDomain(index),
      callers: { host: HOST, port: this.basePort + 100 + index },
      control: { host: HOST, port: this.basePort + 300 + index },
      platformUrl: this.platformUrl,
      operators: [{ name: 'bench', tokenSha256: sha256(TOKEN) }],
      logLevel: 'error',
    });
    const { pid } = this.#spawn(['serve', file]);
    if (pid !== undefined) {
      this.instancePids.push(pid);
    }
  }

  #startStandIn(command: string, name: string, settings: object): void {
    const file = this.#writeSettings(
      `${name}-${this.#children.length}`,
      settings,
    );
    this.#spawn([command, name, file]);
  }

  #spawn(args: readonly string[]): ChildProcess {
    const child = spawn(process.execPath, [...ownCommand(), ...args], {
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    this.#children.push(child);
    return child;
  }

  #writeSettings(name: string, settings: object): string {
    const file = path.join(this.#folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    return file;
  }

  #repeat(count: number, start: (index: number) => void): void {
    Array.from({ length: count }, (_, index) => index).forEach(start);
  }

  #url(port: number): string {
    return `http://${HOST}:${port}`;
  }

  #controlAddress(index: number): string {
    return `${HOST}:${this.basePort + 300 + index}`;
  }

  #failureDomain(index: number): string {
    return `domain-${index % 3}`;
  }

  async #waitUntilReady(url: string): Promise<void> {
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
      const isReady = await request(url).then(
        async res => {
          await res.body.dump();
          return res.statusCode === OK;
        },
        () => false,
      );
      if (isReady) {
        return;
      }
      await wait(READY_PAUSE_MS);
    }
    throw new Error(`${url} did not become ready`);
  }
}
