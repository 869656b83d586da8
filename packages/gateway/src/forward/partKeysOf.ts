import type {
  OrganisationId,
  PromptMetadata,
  PromptPartKey,
} from '@jujubecroft/types';

import { shortHash } from '../util/shortHash.js';

/** Maximum number of parts of a prompt that are compared with those of other requests. */
const MAX_PARTS = 64;

/**
 * Computes the keys of the parts of a prompt that other requests may share.
 *
 * That is all but the last part, which belongs to the request or its session. A key does
 * not depend on the parts before it, since a part may follow different ones. The
 * organisation is part of the key, so that one organisation cannot get the requests of
 * another barred.
 *
 * @param prompt - the prompt; null where the request has none
 * @param organisation - organisation of the caller; null on public routes
 * @returns the keys without duplicates, at most 64
 */
export function partKeysOf(
  prompt: PromptMetadata | null,
  organisation: OrganisationId | null,
): readonly PromptPartKey[] {
  const ids = new Set(prompt?.parts.slice(0, -1).map(({ id }) => id));
  return [...ids]
    .slice(0, MAX_PARTS)
    .map(id => shortHash<PromptPartKey>([organisation, id]));
}
