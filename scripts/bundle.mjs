// Bundles the program, with a code cache for a fast start: node scripts/bundle.mjs FOLDER
import { copyFileSync, mkdirSync, rmSync } from 'node:fs';
import path from 'node:path';
import { pathToFileURL } from 'node:url';

import { build } from 'esbuild';

import { warmUp } from './warmUp.mjs';

/**
 * Node.js flags of deploy/system.toml. A code cache is valid only for the same flags.
 *
 * With V8's usual interrupt budget, a quarter of an idle instance's processor time went
 * into optimising code that then ran too rarely to gain from it.
 */
const RUN_FLAGS = [
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  '--interrupt-budget=300000',
];

const OK = 200;

const root = path.resolve(import.meta.dirname, '..');

/** Optional dependencies of the web framework that are not installed. */
const NOT_INSTALLED = [
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
];

/** Replaces libraries by modules that load only the parts which the gateway uses. */
const leanLibraries = {
  name: 'lean-libraries',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^prom-client$/ }, () => ({
      path: path.join(root, 'scripts/lean/prom-client.mjs'),
    }));
    onResolve(
      { filter: /^node:(http2|https|perf_hooks)$/ },
      ({ path: name, importer }) =>
        importer.includes('/node_modules/fastify/')
          ? { path: path.join(root, `scripts/lean/${name.slice(5)}.cjs`) }
          : undefined,
    );
  },
};

/**
 * Bundles a program with all its dependencies into one CommonJS file.
 *
 * @param outfile - path of the bundle
 * @param entry - entry file of the program, relative to packages/cli/src
 * @param options - modules to leave out of the bundle, and esbuild plugins
 */
export async function bundle(
  outfile,
  entry = 'main.ts',
  { leftOut = [], plugins = [] } = {},
) {
  await build({
    entryPoints: [path.join(root, 'packages/cli/src', entry)],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    tsconfig: path.join(root, 'tsconfig.json'),
    external: [...NOT_INSTALLED, ...leftOut],
    define: { 'import.meta.url': '__bundleUrl' },
    banner: {
      js: "const __bundleUrl = require('node:url').pathToFileURL(process.execPath).href;",
    },
    plugins,
    minify: true,
    keepNames: true,
    logLevel: 'error',
  });
}

/**
 * Writes a code cache of the gateway next to its bundle, for a fast start.
 *
 * A failure costs only the cache: without one, the program is compiled as usual.
 */
async function writeCodeCache(target) {
  copyFileSync(
    path.join(root, 'scripts/start.cjs'),
    path.join(target, 'start.cjs'),
  );
  rmSync(path.join(target, 'gateway.cache'), { force: true });
  try {
    const answers = await warmUp(target, RUN_FLAGS);
    const served = answers.filter(status => status === OK).length;
    console.log(`warm-up: ${served} of ${answers.length} requests served`);
  } catch (err) {
    console.error('the warm-up run failed', err);
  }
}

const [, script = '', target] = process.argv;
if (import.meta.url === pathToFileURL(script).href) {
  if (!target) {
    throw new Error('usage: node scripts/bundle.mjs FOLDER');
  }
  mkdirSync(target, { recursive: true });
  await bundle(path.resolve(target, 'gateway.cjs'), 'gatewayMain.ts', {
    plugins: [leanLibraries],
  });
  // Plots are not used on the platform, so the plotting library is left out.
  await bundle(path.resolve(target, 'jujubecroft.cjs'), 'main.ts', {
    leftOut: ['echarts'],
  });
  await writeCodeCache(path.resolve(target));
}
