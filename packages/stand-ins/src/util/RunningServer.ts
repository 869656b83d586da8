/** Handle of a started server. */
export interface RunningServer {
  /** Base URL with the actual port. */
  readonly url: string;
  readonly stop: () => Promise<void>;
}
