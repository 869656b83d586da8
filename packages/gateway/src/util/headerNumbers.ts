/** More requests than this at one replica are no count but damaged bytes. */
const MAX_COUNT = 1_000_000;

/** @returns the number that a text is; null where it is none */
export function toNumber(text: string | undefined): number | null {
  const value = Number(text);
  return text === undefined || text.trim() === '' || !Number.isFinite(value)
    ? null
    : value;
}

/** @returns a number of requests, or of requests a second; null for what is none */
export function toAmount(text: string | undefined): number | null {
  const value = toNumber(text);
  return value !== null && value >= 0 && value <= MAX_COUNT ? value : null;
}

/**
 * Reads a whole number of requests.
 *
 * Guards against replicas that hand out wrong bytes: what is no count is left out
 * here, or it would be handed on to peers in messages that can't hold it.
 *
 * @returns null for what is no count
 */
export function toCount(text: string | undefined): number | null {
  const value = toAmount(text);
  return Number.isInteger(value) ? value : null;
}
