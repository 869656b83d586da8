/**
 * Wraps a function so that it runs at most once.
 *
 * @param work - function whose result never changes
 * @returns a function that returns the result of the first call
 */
export function once<Result extends string | readonly string[]>(
  work: () => Result,
): () => Result {
  let result: Result | null = null;
  return () => (result ??= work());
}
