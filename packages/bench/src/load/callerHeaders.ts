import type { LoadStream } from '@jujubecroft/settings';

/** Headers that every call of a stream carries. */
export function callerHeaders(
  stream: LoadStream,
): Readonly<Record<string, string>> {
  return {
    authorization: `Bearer ${stream.key}`,
    'content-type': 'application/json',
    'x-request-class': stream.requestClass,
  };
}
