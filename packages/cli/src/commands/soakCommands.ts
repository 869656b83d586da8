import { readFileSync } from 'node:fs';
import path from 'node:path';
import { Command, Option } from 'clipanion';
import { cascade, isInteger, isNumber, isPositive } from 'typanion';

import type {
  LinkOrder,
  SoakReplicaConfig,
  SoakResult,
} from '@jujubecroft/soak';

import { EXIT } from '../exitCodes.js';
import { serveGateway } from '../serveGateway.js';

const positiveInteger = cascade(isNumber(), isInteger(), isPositive());
/** Breaches printed per promise; the number of all is printed with them. */
const MAX_PRINTED_BREACHES = 5;

function formatResult(result: SoakResult): readonly string[] {
  const {
    seed,
    sent,
    served,
    refused,
    storeCalls,
    longestDelayMs,
    faults,
    verdicts,
    invariantsHeld: kept,
  } = result;
  const kinds = [...new Set(faults.map(({ kind }) => kind))].sort();
  const broken = verdicts.flatMap(
    ({ invariant: promise, violations: breaches }) =>
      breaches
        .slice(0, MAX_PRINTED_BREACHES)
        .map(
          ({ request, what }) =>
            `  BROKEN ${promise} (${breaches.length}): ${request ?? '-'}: ${what}`,
        ),
  );
  return [
    `seed ${seed}: ${kept ? 'kept' : 'BROKEN'}; ${sent} requests, ${served} served, ${refused} refused; ${storeCalls} calls of the store; own delay at most ${longestDelayMs} ms; ${faults.length} faults: ${kinds.join(', ')}`,
    ...broken,
  ];
}

/**
 * Runs the programs as processes under random faults and checks the promises of
 * the service.
 */
export class SoakCommand extends Command {
  static override paths = [['soak']];
  static override usage = Command.Usage({
    description: 'run the programs as processes under random faults',
    details:
      'Starts gateways, backend servers and a stand-in for the store as processes on loopback, injects random faults that depend on the seed, and checks every promise against the observations of callers and backend servers. Exits with 4 if a promise was broken. Logs and notes of a run remain in its folder.',
    examples: [
      ['One seed', '$0 soak --seed 7'],
      ['Fifty seeds', '$0 soak --seed 1 --runs 50'],
      ['Many processes', '$0 soak --seed 1 --processes 80 --seconds 60'],
    ],
  });

  readonly seed = Option.String('--seed', '1', { validator: positiveInteger });
  readonly runs = Option.String('--runs', '1', {
    description: 'number of runs, one after the other with consecutive seeds',
    validator: positiveInteger,
  });
  readonly seconds = Option.String('--seconds', '30', {
    description: 'duration of the load in one run, in seconds',
    validator: positiveInteger,
  });
  readonly processes = Option.String('--processes', '12', {
    description: 'total number of gateways and backend servers',
    validator: positiveInteger,
  });
  readonly gateways = Option.String('--gateways', {
    description: 'number of gateways among the processes; half by default',
    validator: positiveInteger,
  });
  readonly folder = Option.String('--folder', 'target/soak', {
    description: 'folder for logs and notes',
  });
  readonly untimed = Option.Boolean('--untimed', false, {
    description: 'skip promises that depend on time measurements',
  });
  readonly kinds = Option.String('--kinds', {
    description: 'fault kinds to choose from, separated by commas',
  });

  async execute(): Promise<number> {
    const { killChildrenOnExit, FAULT_KINDS, runSoak } =
      await import('@jujubecroft/soak');
    killChildrenOnExit();
    const { soakEnvironment } = await import('@jujubecroft/platform/stand-in');
    const named = this.kinds?.split(',') ?? [];
    const unknown = named.filter(
      name => !FAULT_KINDS.some(kind => kind === name),
    );
    if (unknown.length > 0) {
      this.context.stderr.write(
        `unknown fault kinds: "${unknown.join(', ')}"\n`,
      );
      return EXIT.usage;
    }
    const kinds = FAULT_KINDS.filter(kind => named.includes(kind));
    let kept = true;
    for (let run = 0; run < this.runs; run += 1) {
      const seed = this.seed + run;
      const result = await runSoak(soakEnvironment, {
        seed,
        seconds: this.seconds,
        processes: this.processes,
        ...(this.gateways === undefined ? {} : { gateways: this.gateways }),
        folder: path.resolve(this.folder, `seed-${seed}`),
        untimed: this.untimed,
        ...(kinds.length > 0 ? { kinds } : {}),
      });
      this.context.stdout.write(`${formatResult(result).join('\n')}\n`);
      kept &&= result.invariantsHeld;
    }
    return kept ? EXIT.ok : EXIT.brokenPromise;
  }
}

/**
 * Runs one gateway of a soak whose links to replicas can be cut; internal,
 * started by {@link SoakCommand}.
 */
export class SoakGatewayCommand extends Command {
  static override paths = [['soak', 'gateway']];

  readonly settings = Option.String('--settings', { required: true });
  readonly peerAddress = Option.String('--peer-address', { required: true });

  async execute(): Promise<number> {
    const { ReplicaLinks } = await import('@jujubecroft/soak');
    const links = new ReplicaLinks();
    process.on('message', ({ mode, open }: LinkOrder) => {
      links.cut(mode, open);
    });
    await serveGateway(this.settings, {
      peerAddress: this.peerAddress,
      connect: links.connect,
    });
    process.disconnect();
    return EXIT.ok;
  }
}

/**
 * Runs one backend server of a soak; internal, started by {@link SoakCommand}.
 */
export class SoakReplicaCommand extends Command {
  static override paths = [['soak', 'replica']];

  readonly file = Option.String({ name: 'file' });

  async execute(): Promise<number> {
    const { runSoakReplica } = await import('@jujubecroft/soak');
    const { soakReplicaDialect } =
      await import('@jujubecroft/platform/stand-in');
    const place = JSON.parse(
      readFileSync(this.file, 'utf8'),
    ) as SoakReplicaConfig;
    runSoakReplica(place, soakReplicaDialect);
    // Never resolves: the process exits when the soak stops it or has itself
    // exited.
    return new Promise(() => undefined);
  }
}
