// Builds dist/jujubecroft: a single executable that contains Node.js and the program. The
// program alone is started by dist/jujubecroft.cjs.
import { execFileSync } from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import path from 'node:path';

import { bundle } from './bundle.mjs';

const root = path.resolve(import.meta.dirname, '..');
const dist = path.join(root, 'dist');
const bundleFile = path.join(dist, 'program.cjs');
const blob = path.join(dist, 'jujubecroft.blob');
const binary = path.join(dist, 'jujubecroft');
/** Marker in the Node.js binary that postject looks for. */
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

rmSync(dist, { recursive: true, force: true });
mkdirSync(dist);

await bundle(bundleFile);
copyFileSync(
  path.join(root, 'scripts/load.cjs'),
  path.join(dist, 'jujubecroft.cjs'),
);

const seaConfig = path.join(dist, 'sea.json');
writeFileSync(
  seaConfig,
  JSON.stringify({
    main: bundleFile,
    output: blob,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], {
  stdio: 'ignore',
});
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
execFileSync(
  path.join(root, 'node_modules', '.bin', 'postject'),
  [binary, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', FUSE],
  { stdio: 'ignore' },
);
rmSync(blob);
rmSync(seaConfig);
console.log(`built ${path.relative(root, binary)}`);
