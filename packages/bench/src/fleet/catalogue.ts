import { configSpread } from './config-spread.js';
import type { FleetExperiment } from './FleetExperiment.js';
import { gatewayAblation } from '../gateway/gateway-ablation.js';
import { gatewayBurst } from '../gateway/gateway-burst.js';
import { instanceCrash } from './instance-crash.js';
import { rollingReplace } from './rolling-replace.js';
import { storeOutage } from './store-outage.js';

/** All experiments that report named figures; most of them use real sockets. */
export const FLEET_EXPERIMENTS: readonly FleetExperiment[] = [
  configSpread,
  gatewayAblation,
  gatewayBurst,
  instanceCrash,
  rollingReplace,
  storeOutage,
];
