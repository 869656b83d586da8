import type { ModelId } from '@jujubecroft/types';

/** Permission to load weights, or when to ask again. */
export type WeightGrant =
  | { readonly granted: false; readonly retryAfterMs: number }
  | { readonly granted: true };

/** The platform's rate-limited weight store. */
export interface WeightStore {
  readonly request: (model: ModelId, version: string) => Promise<WeightGrant>;
}
