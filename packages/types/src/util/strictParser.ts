/**
 * Option of each client and server of `node:http`.
 *
 * Without it, the command line and the environment of the process decide whether its HTTP
 * parser is lenient. A lenient one takes lines for headers, or the rest of a head for a body,
 * where RFC 9112 (sections 2.2 and 5) requires a message to be rejected.
 */
export const STRICT_PARSER = { insecureHTTPParser: false } as const;
