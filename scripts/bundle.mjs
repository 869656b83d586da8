// Bundles the program for a quick start: node scripts/bundle.mjs FOLDER
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync } from 'node:fs';
import path from 'node:path';
import { pathToFileURL } from 'node:url';

import { build } from 'esbuild';

/** The flags that deploy/system.toml runs with; kept code fits the same flags only. */
const RUN_FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=4'];

const root = path.resolve(import.meta.dirname, '..');

/** Bundles the command line with everything it loads into one CommonJS file. */
export async function bundle(outfile) {
  await build({
    entryPoints: [path.join(root, 'packages/cli/src/main.ts')],
    outfile,
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
}

/** Keeps compiled code beside the bundle, for a quick start. */
function keepCode(target) {
  copyFileSync(
    path.join(root, 'scripts/start.cjs'),
    path.join(target, 'start.cjs'),
  );
  // Without settings the command loads everything and ends with a usage error.
  spawnSync(
    process.execPath,
    [...RUN_FLAGS, path.join(target, 'start.cjs'), 'gateway'],
    { env: { PATH: process.env.PATH, JUJUBECROFT_KEEP_CODE: '1' } },
  );
}

const [, script = '', target] = process.argv;
if (import.meta.url === pathToFileURL(script).href) {
  if (!target) {
    throw new Error('usage: node scripts/bundle.mjs FOLDER');
  }
  mkdirSync(target, { recursive: true });
  await bundle(path.resolve(target, 'jujubecroft.cjs'));
  keepCode(path.resolve(target));
}
