// Builds dist/jujubecroft: one executable that holds Node.js and the program.
import { execFileSync } from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import path from 'node:path';

import { build } from 'esbuild';

const root = path.resolve(import.meta.dirname, '..');
const dist = path.join(root, 'dist');
const bundle = path.join(dist, 'jujubecroft.cjs');
const blob = path.join(dist, 'jujubecroft.blob');
const binary = path.join(dist, 'jujubecroft');
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

rmSync(dist, { recursive: true, force: true });
mkdirSync(dist);

await build({
  entryPoints: [path.join(root, 'packages/cli/src/main.ts')],
  outfile: bundle,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  tsconfig: path.join(root, 'tsconfig.json'),
  // Optional parts of the web framework that are not installed.
  external: [
    '@nestjs/microservices',
    '@nestjs/microservices/*',
    '@nestjs/platform-express',
    '@nestjs/websockets',
    '@nestjs/websockets/*',
    '@fastify/multipart',
    '@fastify/static',
    '@fastify/view',
    'class-transformer',
    'class-transformer/*',
    'class-validator',
  ],
  define: { 'import.meta.url': '__bundleUrl' },
  banner: {
    js: "const __bundleUrl = require('node:url').pathToFileURL(process.execPath).href;",
  },
  minify: true,
  keepNames: true,
  logLevel: 'error',
});

const seaConfig = path.join(dist, 'sea.json');
writeFileSync(
  seaConfig,
  JSON.stringify({
    main: bundle,
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
