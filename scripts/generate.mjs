// Regenerates packages/operator/src/generated from the .proto schema.
// The npm package of the generator ships its program without the execute bit.
import { execFileSync } from 'node:child_process';
import { chmodSync, existsSync, readdirSync } from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const scope = path.join(root, 'node_modules', '@bufbuild');
readdirSync(scope)
  .map(name => path.join(scope, name, 'bin', 'buf'))
  .filter(file => existsSync(file))
  .forEach(file => chmodSync(file, 0o755));
execFileSync(path.join(root, 'node_modules', '.bin', 'buf'), ['generate'], {
  cwd: path.join(root, 'packages', 'operator'),
  env: {
    ...process.env,
    PATH: `${path.join(root, 'node_modules', '.bin')}:${process.env.PATH}`,
  },
  stdio: 'inherit',
});
