// Bundles the program, with a code cache for a fast start: node scripts/bundle.mjs FOLDER
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { pathToFileURL } from 'node:url';

import { build } from 'esbuild';

/** Node.js flags of deploy/system.toml. A code cache is valid only for the same flags. */
const RUN_FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=4'];

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

/** Time within which an instance has started and tried to reach its store, in milliseconds. */
const WARM_UP_MS = 1500;
/** First port of the warm-up run: below the ephemeral ports; concurrent builds use different ones. */
const WARM_UP_PORT = 20_000;
const WARM_UP_PORTS = 900;

/** Settings of an instance without store and peers, for the warm-up run. */
function warmUpSettings() {
  const port = WARM_UP_PORT + 10 * (process.pid % WARM_UP_PORTS);
  const at = offset => `127.0.0.1:${port + offset}`;
  return {
    node_name: 'warm-up',
    ip: '127.0.0.1',
    zone: 'warm-up',
    listen: { front: at(2), ready: at(3), directory: at(4) },
    internal_port_range: [port, port + 1],
    platform: { address: at(5) },
  };
}

/**
 * Writes a code cache of the gateway next to its bundle, for a fast start.
 *
 * The gateway runs once, so that the cache contains the code of the whole start. If it
 * cannot listen, the cache contains the code that was compiled until then.
 */
function writeCodeCache(target) {
  copyFileSync(
    path.join(root, 'scripts/start.cjs'),
    path.join(target, 'start.cjs'),
  );
  const settings = path.join(target, 'warm-up.json');
  writeFileSync(settings, JSON.stringify(warmUpSettings()));
  const start = path.join(target, 'start.cjs');
  spawnSync(
    process.execPath,
    [...RUN_FLAGS, start, 'gateway', '--settings', settings],
    {
      env: {
        PATH: process.env.PATH,
        JUJUBECROFT_KEEP_CODE_MS: String(WARM_UP_MS),
      },
      stdio: 'ignore',
    },
  );
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
  writeCodeCache(path.resolve(target));
}
