import type { Route } from '@jujubecroft/types';

/** Whether the answers of a route are streams that another replica may continue. */
export function hasResumableStreams({
  kind,
  resumable,
}: Pick<Route, 'kind' | 'resumable'>): boolean {
  return kind === 'streaming' && resumable;
}
