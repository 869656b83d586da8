/**
 * Narrows away `undefined` and `null` with a reason.
 *
 * @param value - the value that must be there
 * @param reason - why it must be there
 * @returns the value
 * @throws Error when it is missing
 */
export function assertDefined<T>(value: T, reason: string): NonNullable<T> {
  if (value === undefined || value === null) {
    throw new Error(`Expected a value: ${reason}`);
  }
  return value;
}
