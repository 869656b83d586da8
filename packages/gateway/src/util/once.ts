/**
 * Keeps the result of the first call.
 *
 * @param work - whose result never changes
 * @returns a function that does the work at most once
 */
export function once<Result extends string>(work: () => Result): () => Result {
  let known: Result | null = null;
  return () => (known ??= work());
}
