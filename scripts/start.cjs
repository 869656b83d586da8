// Starts the bundle beside this file with the compiled code that the build kept.
//
// An instance that is killed is back as soon as its program is loaded, and what it
// compiles by then is a third of that. Where the kept code doesn't fit the
// runtime, it is left aside and the program compiled as usual.
const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const Module = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const name = process.argv[2] === 'gateway' ? 'gateway' : 'jujubecroft';
const bundle = path.join(__dirname, `${name}.cjs`);
const cache = path.join(__dirname, `${name}.cache`);
/** Set by the build: the time for which the program runs to learn what it compiles. */
const KEEP_AFTER_MS = Number(process.env.JUJUBECROFT_KEEP_CODE_MS ?? 0);

const source = Module.wrap(readFileSync(bundle, 'utf8'));
const cachedData =
  KEEP_AFTER_MS === 0 && existsSync(cache) ? readFileSync(cache) : undefined;
const script = new vm.Script(source, { filename: bundle, cachedData });
const bundled = new Module(bundle, null);
bundled.filename = bundle;
process.argv[1] = bundle;
if (KEEP_AFTER_MS > 0) {
  process.on('exit', () => {
    writeFileSync(cache, script.createCachedData());
  });
  setTimeout(() => process.exit(), KEEP_AFTER_MS);
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
