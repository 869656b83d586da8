import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync } from 'node:fs';
import { ownCommand } from '@jujubecroft/stand-ins/util';

/** Command line and output of one start of a program. */
export interface LaunchOptions {
  /** Arguments after those that run this program itself. */
  readonly args: readonly string[];
  /** Options of Node.js, in addition to those of this process. */
  readonly nodeArgs?: readonly string[];
  /** File to which standard output and standard error are appended. */
  readonly outFile: string;
}

/** All running child processes. */
const RUNNING_CHILDREN = new Set<ChildProcess>();

/**
 * Kills all child processes when this process exits, including on SIGINT and SIGTERM.
 *
 * Otherwise the children of an interrupted or failed soak would keep running and
 * hold their addresses, since they do not notice that their parent has exited.
 */
export function killChildrenOnExit(): void {
  process.once('exit', () => {
    RUNNING_CHILDREN.forEach(child => child.kill('SIGKILL'));
  });
  (['SIGINT', 'SIGTERM'] as const).forEach(signal => {
    process.once(signal, () => process.exit(1));
  });
}

/**
 * A program of a soak, run as a child process that can be signalled, paused, killed
 * and restarted. It signals only processes that it has started itself.
 */
export class SoakProcess {
  #child: ChildProcess | null = null;
  #incarnation = 0;
  /** Child process that this one has ended or asked to end. */
  #ending: ChildProcess | null = null;
  readonly #ownEnds: string[] = [];

  /**
   * @param launchOptionsOf - returns the launch options of an incarnation
   * @param onRunning - called when the process starts and when it has ended
   */
  constructor(
    private readonly launchOptionsOf: (incarnation: number) => LaunchOptions,
    private readonly onRunning: (isRunning: boolean) => void = () => undefined,
  ) {}

  /** Number of the current incarnation, from 1; 0 before the first start. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** Exit codes or signals of processes that ended although nobody ended them. */
  get ownEnds(): readonly string[] {
    return this.#ownEnds;
  }

  get isRunning(): boolean {
    return this.#child !== null;
  }

  /** Starts the program unless it is running. */
  start(): void {
    if (this.#child) {
      return;
    }
    this.#incarnation += 1;
    const options = this.launchOptionsOf(this.#incarnation);
    const { args, nodeArgs = [], outFile } = options;
    const out = openSync(outFile, 'a');
    const child = spawn(
      process.execPath,
      [...nodeArgs, ...ownCommand(), ...args],
      { stdio: ['ignore', out, out, 'ipc'] },
    );
    closeSync(out);
    this.#child = child;
    RUNNING_CHILDREN.add(child);
    this.onRunning(true);
    child.once('exit', (code, signal) => {
      RUNNING_CHILDREN.delete(child);
      this.#child = null;
      this.onRunning(false);
      if (this.#ending !== child) {
        this.#ownEnds.push(signal ?? String(code));
      }
    });
  }

  /** Sends a signal to the process if it is running. */
  signal(name: 'SIGHUP' | 'SIGTERM'): void {
    if (name === 'SIGTERM') {
      this.#ending = this.#child;
    }
    this.#child?.kill(name);
  }

  /** Sends a message to the process if its IPC channel is open. */
  sendMessage(message: object): void {
    if (this.#child?.connected === true) {
      this.#child.send(message);
    }
  }

  /** Suspends the process until {@link SoakProcess.resume} is called. */
  pause(): void {
    this.#child?.kill('SIGSTOP');
  }

  resume(): void {
    this.#child?.kill('SIGCONT');
  }

  /** Kills the process and waits for its exit. */
  async kill(): Promise<void> {
    this.#ending = this.#child;
    this.#child?.kill('SIGKILL');
    await this.#waitForExit();
  }

  /** Waits for the process to exit, and kills it after the given time. */
  async ended(withinMs: number): Promise<void> {
    const child = this.#child;
    const timer = setTimeout(() => child?.kill('SIGKILL'), withinMs);
    await this.#waitForExit();
    clearTimeout(timer);
  }

  async #waitForExit(): Promise<void> {
    if (this.#child) {
      await once(this.#child, 'exit');
    }
  }
}
