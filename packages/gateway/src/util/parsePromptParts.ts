import type { PromptPart } from '@jujubecroft/types';

import { parseNumber } from './headerNumbers.js';

/**
 * Parses the leading parts of a prompt.
 *
 * @param text - value of a header, in order as `id:tokens,id:tokens`
 * @returns the parts; those without an id or a number of tokens are left out
 */
export function parsePromptParts(
  text: string | undefined,
): readonly PromptPart[] {
  return (text ?? '').split(',').flatMap(part => {
    const [id = '', tokens = ''] = part.trim().split(':');
    const count = parseNumber(tokens);
    return id === '' || count === null ? [] : [{ id, tokens: count }];
  });
}
