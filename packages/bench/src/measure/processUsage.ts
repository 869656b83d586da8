import { readFileSync } from 'node:fs';

/** Processor time that a process has used, and its resident memory. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Length of a clock tick in `/proc`; the same on all Linux systems that Node.js supports. */
const TICK_MS = 10;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;
const KIBIBYTE = 1024;

/**
 * Reads processor time and resident memory of a process.
 *
 * @param pid - id of a process on this machine
 * @returns user and system time of all its threads, and resident memory
 * @throws Error if the process does not exist or the system has no `/proc`
 */
export function processUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command name may contain spaces, so fields are counted after its closing parenthesis.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? '0';
  return { cpuMs: ticks * TICK_MS, residentBytes: Number(resident) * KIBIBYTE };
}
