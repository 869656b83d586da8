// Bundles the program into one file: node scripts/bundle.mjs FILE
import { mkdirSync } from 'node:fs';
import path from 'node:path';
import { pathToFileURL } from 'node:url';

import { build } from 'esbuild';

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

const [, script = '', outfile] = process.argv;
if (import.meta.url === pathToFileURL(script).href) {
  if (!outfile) {
    throw new Error('usage: node scripts/bundle.mjs FILE');
  }
  mkdirSync(path.dirname(outfile), { recursive: true });
  await bundle(path.resolve(outfile));
}
