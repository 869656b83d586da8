import { readFileSync } from 'node:fs';
import path from 'node:path';
import { Command, Option } from 'clipanion';
import { cascade, isInteger, isNumber, isPositive } from 'typanion';

import type { SoakReplicaPlace, SoakResult } from '@jujubecroft/soak';

import { EXIT } from '../exitCodes.js';

const wholeNumber = cascade(isNumber(), isInteger(), isPositive());
/** Breaches of one promise that are printed; the count tells of the rest. */
const MAX_PRINTED = 5;

function lines(result: SoakResult): readonly string[] {
  const { seed, sent, served, refused, storeCalls, faults, verdicts, kept } =
    result;
  const kinds = [...new Set(faults.map(({ kind }) => kind))].sort();
  const broken = verdicts.flatMap(({ promise, breaches }) =>
    breaches
      .slice(0, MAX_PRINTED)
      .map(
        ({ request, what }) =>
          `  BROKEN ${promise} (${breaches.length}): ${request ?? '-'}: ${what}`,
      ),
  );
  return [
    `seed ${seed}: ${kept ? 'kept' : 'BROKEN'}; ${sent} requests, ${served} served, ${refused} refused; ${storeCalls} calls of the store; ${faults.length} faults: ${kinds.join(', ')}`,
    ...broken,
  ];
}

/** Runs the programs under faults and checks what callers and replicas see. */
export class SoakCommand extends Command {
  static override paths = [['soak']];
  static override usage = Command.Usage({
    description: 'run the programs as processes under random faults',
    details:
      'Starts gateways, backend servers and a stand-in of the store as processes on loopback, injects the faults that the seed draws, and checks every promise from what callers and backend servers saw. Exits with 4 if a promise was broken. Logs and notes of a run stay in its folder.',
    examples: [
      ['One seed', '$0 soak --seed 7'],
      ['Fifty seeds', '$0 soak --seed 1 --runs 50'],
      ['Many processes', '$0 soak --seed 1 --processes 80 --seconds 60'],
    ],
  });

  readonly seed = Option.String('--seed', '1', { validator: wholeNumber });
  readonly runs = Option.String('--runs', '1', {
    description: 'seeds to run, one after the other',
    validator: wholeNumber,
  });
  readonly seconds = Option.String('--seconds', '30', {
    description: 'length of the load of one run',
    validator: wholeNumber,
  });
  readonly processes = Option.String('--processes', '12', {
    description: 'gateways and backend servers together',
    validator: wholeNumber,
  });
  readonly folder = Option.String('--folder', 'target/soak', {
    description: 'where logs and notes go',
  });
  readonly untimed = Option.Boolean('--untimed', false, {
    description: 'leave out promises that compare times',
  });
  readonly kinds = Option.String('--kinds', {
    description: 'kinds of faults to draw from, with commas between',
  });

  async execute(): Promise<number> {
    const { endChildrenWithThis, FAULT_KINDS, runSoak } =
      await import('@jujubecroft/soak');
    endChildrenWithThis();
    const { soakEnvironment } = await import('@jujubecroft/platform/stand-in');
    const named = this.kinds?.split(',') ?? [];
    const unknown = named.filter(
      name => !FAULT_KINDS.some(kind => kind === name),
    );
    if (unknown.length > 0) {
      this.context.stderr.write(`no kind of fault "${unknown.join(', ')}"\n`);
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
        folder: path.resolve(this.folder, `seed-${seed}`),
        untimed: this.untimed,
        ...(kinds.length > 0 ? { kinds } : {}),
      });
      this.context.stdout.write(`${lines(result).join('\n')}\n`);
      kept &&= result.kept;
    }
    return kept ? EXIT.ok : EXIT.brokenPromise;
  }
}

/** Runs one backend server of a soak; started by the soak itself. */
export class SoakReplicaCommand extends Command {
  static override paths = [['soak', 'replica']];

  readonly file = Option.String({ name: 'file' });

  async execute(): Promise<number> {
    const { runSoakReplica } = await import('@jujubecroft/soak');
    const { soakReplicaDialect } =
      await import('@jujubecroft/platform/stand-in');
    const place = JSON.parse(
      readFileSync(this.file, 'utf8'),
    ) as SoakReplicaPlace;
    runSoakReplica(place, soakReplicaDialect);
    // The process ends when the soak says so or is gone itself.
    return new Promise(() => undefined);
  }
}
