/** Headers by which a server states that it did not run the request. */
export const NOT_RUN_HEADERS = { 'x-not-run': 'true' } as const;
