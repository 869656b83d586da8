import type * as z from 'zod';

/** One fault of a document. */
export interface DocumentFault {
  /** Dotted path; empty for the document itself. */
  readonly path: string;
  readonly message: string;
}

/** What a document says, or every fault that it has. */
export type CheckedRead<Settings> =
  | { readonly ok: true; readonly settings: Settings }
  | { readonly ok: false; readonly faults: readonly DocumentFault[] };

/**
 * Reads a document of JSON and checks it.
 *
 * @param text - the document
 * @param schema - that it has to keep
 * @param toSettings - makes of it what is used
 * @returns the settings, or every fault
 */
export function readChecked<Schema extends z.ZodType, Settings>(
  text: string,
  schema: Schema,
  toSettings: (checked: z.infer<Schema>) => Settings,
): CheckedRead<Settings> {
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
