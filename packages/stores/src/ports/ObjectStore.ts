/** The platform's object store. Calls may fail with `platformUnavailable`. */
export interface ObjectStore {
  readonly read: (name: string) => Promise<string | null>;
  readonly write: (name: string, body: string) => Promise<void>;
}
