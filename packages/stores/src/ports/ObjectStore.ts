/** The platform's object store. Any call may fail with `platformUnavailable`. */
export interface ObjectStore {
  /** Reads an object; null when there is none of that name. */
  readonly read: (name: string) => Promise<string | null>;
  readonly write: (name: string, body: string) => Promise<void>;
}
