import type { BackendLoad } from '../BackendLoad.js';

/**
 * Whether a replica has begun to answer a request that was sent to it lately.
 *
 * @param load - load of the replica
 * @param sinceMs - time from which on requests count, on the local clock
 * @param withinMs - time within which the answer has to have begun, in milliseconds
 */
export function answersPromptly(
  { attempts }: Pick<BackendLoad, 'attempts'>,
  sinceMs: number,
  withinMs: number,
): boolean {
  return [...attempts].some(
    ({ sentMs, firstByteMs }) =>
      sentMs >= sinceMs &&
      firstByteMs !== null &&
      firstByteMs - sentMs <= withinMs,
  );
}
