/** Timeouts for clients of the servers beside that for callers, in milliseconds. */
export const CLIENT_TIMEOUTS = {
  headersTimeout: 5000,
  requestTimeout: 10_000,
  keepAliveTimeout: 15_000,
  connectionsCheckingInterval: 1000,
} as const;
