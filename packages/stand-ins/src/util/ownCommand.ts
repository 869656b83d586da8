/**
 * Matches a script file; a single-executable build has none in its arguments.
 */
const SCRIPT = /\.[cm]?[jt]s$/;

/**
 * Arguments for `process.execPath` that start this program again, to be
 * followed by the program's own arguments.
 *
 * @param argv - `argv` of this process
 * @param execArgv - Node.js options of this process
 * @returns the Node.js options and the script; empty for a single-executable
 *   build
 */
export function ownCommand(
  argv: readonly string[] = process.argv,
  execArgv: readonly string[] = process.execArgv,
): readonly string[] {
  const [, script = ''] = argv;
  return SCRIPT.test(script) ? [...execArgv, script] : [];
}
