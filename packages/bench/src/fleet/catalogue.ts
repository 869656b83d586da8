import { configSpread } from './config-spread.js';
import type { FleetExperiment } from './FleetExperiment.js';
import { instanceCrash } from './instance-crash.js';
import { rollingReplace } from './rolling-replace.js';
import { storeOutage } from './store-outage.js';

/** Experiments over real sockets. */
export const FLEET_EXPERIMENTS: readonly FleetExperiment[] = [
  configSpread,
  instanceCrash,
  rollingReplace,
  storeOutage,
];
