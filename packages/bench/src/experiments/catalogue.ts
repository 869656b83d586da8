import { burstAll } from './burst-all.js';
import { burstOneClass } from './burst-one-class.js';
import { callerLeaves } from './caller-leaves.js';
import { engineCrash } from './engine-crash.js';
import type { Experiment } from './Experiment.js';
import { laggingReports } from './lagging-reports.js';
import { largeOrganisation } from './large-organisation.js';
import { longAnswers } from './long-answers.js';
import { nightBatch } from './night-batch.js';
import { overload2x } from './overload-2x.js';
import { prefixReuse } from './prefix-reuse.js';
import { silentConnections } from './silent-connections.js';
import { straggler } from './straggler.js';

/** All experiments that are simulated in virtual time. */
export const EXPERIMENTS: readonly Experiment[] = [
  burstAll,
  burstOneClass,
  callerLeaves,
  engineCrash,
  laggingReports,
  largeOrganisation,
  longAnswers,
  nightBatch,
  overload2x,
  prefixReuse,
  silentConnections,
  straggler,
];
