import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync } from 'node:fs';
import { ownCommand } from '@jujubecroft/stand-ins/util';

/** How one program is started. */
export interface ProgramStart {
  readonly args: readonly string[];
  /** File that takes the standard output of all its runs. */
  readonly outFile: string;
}

/** Every child that runs, so that none is left behind. */
const RUNNING = new Set<ChildProcess>();

/**
 * Ends every child when this process ends, however it does.
 *
 * Guards against programs that run on, and keep their addresses, after a soak that
 * was interrupted or failed; they don't notice that their parent is gone.
 */
export function endChildrenWithThis(): void {
  process.once('exit', () => {
    RUNNING.forEach(child => child.kill('SIGKILL'));
  });
  (['SIGINT', 'SIGTERM'] as const).forEach(signal => {
    process.once(signal, () => process.exit(1));
  });
}

/**
 * One program of a soak, as a process that is stopped, paused, killed and started
 * again. It ends only processes that it started, by their ids.
 */
export class SoakProcess {
  #child: ChildProcess | null = null;
  #incarnation = 0;

  /** @param startOf - how a run of the program is started, by its number */
  constructor(
    private readonly startOf: (incarnation: number) => ProgramStart,
  ) {}

  /** Number of the present run, 1 for the first. */
  get incarnation(): number {
    return this.#incarnation;
  }

  get isUp(): boolean {
    return this.#child !== null;
  }

  /** Starts the program unless it runs. */
  start(): void {
    if (this.#child) {
      return;
    }
    this.#incarnation += 1;
    const { args, outFile } = this.startOf(this.#incarnation);
    const out = openSync(outFile, 'a');
    const child = spawn(process.execPath, [...ownCommand(), ...args], {
      stdio: ['ignore', out, out, 'ipc'],
    });
    closeSync(out);
    this.#child = child;
    RUNNING.add(child);
    child.once('exit', () => {
      RUNNING.delete(child);
      this.#child = null;
    });
  }

  /** Sends a signal to the present run, if there is one. */
  signal(name: 'SIGHUP' | 'SIGTERM'): void {
    this.#child?.kill(name);
  }

  /** Tells the program something, where it listens. */
  tell(message: object): void {
    if (this.#child?.connected === true) {
      this.#child.send(message);
    }
  }

  /** Suspends the process until it is resumed. */
  pause(): void {
    this.#child?.kill('SIGSTOP');
  }

  resume(): void {
    this.#child?.kill('SIGCONT');
  }

  /** Ends the process at once and waits until it is gone. */
  async kill(): Promise<void> {
    this.#child?.kill('SIGKILL');
    await this.#gone();
  }

  /** Waits until the process has ended by itself, or kills it when the time is up. */
  async ended(withinMs: number): Promise<void> {
    const child = this.#child;
    const timer = setTimeout(() => child?.kill('SIGKILL'), withinMs);
    await this.#gone();
    clearTimeout(timer);
  }

  async #gone(): Promise<void> {
    if (this.#child) {
      await once(this.#child, 'exit');
    }
  }
}
