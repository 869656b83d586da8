import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';

/** How one program is started. */
export interface ProgramStart {
  readonly args: readonly string[];
  /** File that takes the standard output of all its runs. */
  readonly outFile: string;
}

/** The program as it runs now, from the sources or as a bundle. */
function ownCommand(): readonly string[] {
  const [, script] = process.argv;
  return script === undefined ? [] : [...process.execArgv, script];
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
  #paused = false;
  #incarnation = 0;

  /**
   * @param startOf - how a run of the program is started, by its number
   * @param onExit - told of each end
   */
  constructor(
    private readonly startOf: (incarnation: number) => ProgramStart,
    private readonly onExit: (code: number | null) => void = () => undefined,
  ) {}

  /** Number of the present run, 1 for the first. */
  get incarnation(): number {
    return this.#incarnation;
  }

  get isUp(): boolean {
    return this.#child !== null;
  }

  /** Process id; undefined while it is down. */
  get pid(): number | undefined {
    return this.#child?.pid;
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
    this.#paused = false;
    RUNNING.add(child);
    child.once('exit', code => {
      RUNNING.delete(child);
      if (this.#child === child) {
        this.#child = null;
      }
      this.onExit(code);
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
    if (this.#child && !this.#paused) {
      this.#paused = true;
      this.#child.kill('SIGSTOP');
    }
  }

  resume(): void {
    if (this.#child && this.#paused) {
      this.#paused = false;
      this.#child.kill('SIGCONT');
    }
  }

  /** Ends the process at once and waits until it is gone. */
  async kill(): Promise<void> {
    const child = this.#child;
    if (!child) {
      return;
    }
    const gone = new Promise<void>(resolve => {
      child.once('exit', () => {
        resolve();
      });
    });
    child.kill('SIGKILL');
    await gone;
  }

  /** Waits until the process has ended by itself, or kills it when the time is up. */
  async ended(withinMs: number): Promise<void> {
    const child = this.#child;
    if (!child) {
      return;
    }
    const gone = new Promise<void>(resolve => {
      child.once('exit', () => {
        resolve();
      });
    });
    const timer = setTimeout(() => child.kill('SIGKILL'), withinMs);
    await gone;
    clearTimeout(timer);
  }
}
