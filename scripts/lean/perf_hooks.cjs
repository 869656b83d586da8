// Fastify uses only the clock of this module, which is a global object anyway.
exports.performance = globalThis.performance;
