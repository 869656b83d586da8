/**
 * Computes the lower median of unsorted numbers.
 *
 * @param values - the numbers; not modified
 * @returns the median, or 0 for an empty list
 */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
