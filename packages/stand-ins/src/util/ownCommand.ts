/** Programs that the runtime is given as a file; a single binary has none. */
const SCRIPT = /\.[cm]?[jt]s$/;

/**
 * Arguments that start the program once more as it runs now.
 *
 * @param argv - of this process
 * @param execArgv - arguments of its runtime
 * @returns what stands before the command: the runtime's arguments and the script;
 *   nothing where the program is a binary of its own
 */
export function ownCommand(
  argv: readonly string[] = process.argv,
  execArgv: readonly string[] = process.execArgv,
): readonly string[] {
  const [, script = ''] = argv;
  return SCRIPT.test(script) ? [...execArgv, script] : [];
}
