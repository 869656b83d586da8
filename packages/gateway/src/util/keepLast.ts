/**
 * Wraps a pure function so that its last result is reused while its argument is the
 * same.
 *
 * @param compute - the function
 * @returns the wrapped function
 */
export function keepLast<Argument, Result>(
  compute: (argument: Argument) => Result,
): (argument: Argument) => Result {
  let last: { argument: Argument; result: Result } | null = null;
  return argument => {
    if (last?.argument !== argument) {
      last = { argument, result: compute(argument) };
    }
    return last.result;
  };
}
