// Entry point of the program that contains only the gateway command. Loading
// the other commands would take a third of the load time, and an instance that
// was killed serves no callers until its program is loaded. Connections that
// arrive meanwhile are held until the gateway takes them over.
import './ignoreEarlyReload.js';

import { listenEarly } from '@jujubecroft/platform/early';

const held = listenEarly(process.env);

void import('./runGatewayCli.js').then(({ runGatewayCli }) =>
  runGatewayCli(held),
);
