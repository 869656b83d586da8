import type { LoadStream } from '@jujubecroft/settings';

/** Headers of every call in a stream: key, content type and request class. */
export function callerHeaders(
  stream: LoadStream,
): Readonly<Record<string, string>> {
  return {
    authorization: `Bearer ${stream.key}`,
    'content-type': 'application/json',
    'x-request-class': stream.requestClass,
  };
}
