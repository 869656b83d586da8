import type * as z from 'zod';

/** A validation error of a document. */
export interface ValidationIssue {
  /** Dotted path of the field; empty for the document itself. */
  readonly path: string;
  readonly message: string;
}

/** Settings of a valid document, or all validation errors of an invalid one. */
export type DocumentParseResult<Settings> =
  | { readonly ok: true; readonly settings: Settings }
  | { readonly ok: false; readonly faults: readonly ValidationIssue[] };

/**
 * Parses and validates a JSON document.
 *
 * @param text - the document
 * @param schema - schema that the document must match
 * @param toSettings - converts the validated document
 * @returns the settings, or all validation errors
 */
export function parseDocument<Schema extends z.ZodType, Settings>(
  text: string,
  schema: Schema,
  toSettings: (checked: z.infer<Schema>) => Settings,
): DocumentParseResult<Settings> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err);
    return { ok: false, faults: [{ path: '', message }] };
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) {
    return { ok: true, settings: toSettings(parsed.data) };
  }
  const faults = parsed.error.issues.map(({ path, message }) => ({
    path: path.join('.'),
    message,
  }));
  return { ok: false, faults };
}
