/**
 * Asserts that a value is neither `undefined` nor `null`.
 *
 * @param value - the value to check
 * @param reason - why the value is always defined; part of the error message
 * @returns the value
 * @throws Error when the value is `undefined` or `null`
 */
export function assertDefined<T>(value: T, reason: string): NonNullable<T> {
  if (value === undefined || value === null) {
    throw new Error(`Expected a value: ${reason}`);
  }
  return value;
}
