import type { ModelId } from '@jujubecroft/types';

/** Permission to load weights, or the delay before the next request. */
export type WeightGrant =
  | { readonly granted: false; readonly retryAfterMs: number }
  | { readonly granted: true };

/** The platform's store of model weights, whose loads are rate-limited. */
export interface WeightStore {
  readonly request: (model: ModelId, version: string) => Promise<WeightGrant>;
}
