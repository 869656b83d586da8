/** A server that was started and can be stopped. */
export interface RunningServer {
  /** Base URL with the port that was really taken. */
  readonly url: string;
  readonly stop: () => Promise<void>;
}
