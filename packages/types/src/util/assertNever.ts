/**
 * Marks a switch as exhaustive.
 *
 * @param value - a value whose type must have been narrowed to `never`
 * @throws Error always: a call means that a case is not handled
 */
export function assertNever(value: never): never {
  throw new Error(`Unhandled case: ${JSON.stringify(value)}`);
}
