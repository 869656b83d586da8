// Starts the bundle next to this file with the code cache that the build wrote.
//
// An instance that was killed is available again as soon as its program is loaded, and
// compilation takes a third of that time. V8 rejects a cache that does not match the
// runtime; the program is then compiled as usual.
if (process.argv[2] === 'gateway') {
  // Until the program listens for it, SIGHUP would end the process. Nothing that takes
  // time may precede this.
  process.on('SIGHUP', () => undefined);
}

const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const Module = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const name = process.argv[2] === 'gateway' ? 'gateway' : 'jujubecroft';
const bundle = path.join(__dirname, `${name}.cjs`);
const cacheFile = path.join(__dirname, `${name}.cache`);
/**
 * Set by the build: time after which the program exits and the code cache is written,
 * unless it is asked to stop before.
 */
const WRITE_CACHE_AFTER_MS = Number(process.env.JUJUBECROFT_KEEP_CODE_MS ?? 0);

const source = Module.wrap(readFileSync(bundle, 'utf8'));
const cachedData =
  WRITE_CACHE_AFTER_MS === 0 && existsSync(cacheFile)
    ? readFileSync(cacheFile)
    : undefined;
const script = new vm.Script(source, { filename: bundle, cachedData });
const bundled = new Module(bundle, null);
bundled.filename = bundle;
if (WRITE_CACHE_AFTER_MS > 0) {
  const { setFlagsFromString } = require('node:v8');
  // V8 drops the compiled code of functions that have not run for a while. The flag is
  // set back before writing, since a cache is valid only for the same flags.
  setFlagsFromString('--no-flush-bytecode');
  process.on('exit', () => {
    setFlagsFromString('--flush-bytecode');
    writeFileSync(cacheFile, script.createCachedData());
  });
  // Before the program's own handler, which would stop gracefully.
  process.once('SIGTERM', () => process.exit());
  setTimeout(() => process.exit(), WRITE_CACHE_AFTER_MS);
}
script
  .runInThisContext()
  .call(
    bundled.exports,
    bundled.exports,
    Module.createRequire(bundle),
    bundled,
    bundle,
    __dirname,
  );
