// The gateway alone. An instance that is killed serves again as soon as its
// program is loaded, and the other commands would be a third of that. The
// connections of callers wait meanwhile.
import { listenEarly } from '@jujubecroft/platform/early';

const held = listenEarly(process.env);

void import('./runGatewayCli.js').then(({ runGatewayCli }) =>
  runGatewayCli(held),
);
