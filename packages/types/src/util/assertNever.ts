/**
 * Marks a switch as exhaustive.
 *
 * @param value - a value whose type must have been narrowed to `never`
 * @throws Error always, since reaching it means that a case was missed
 */
export function assertNever(value: never): never {
  throw new Error(`Unhandled case: ${JSON.stringify(value)}`);
}
