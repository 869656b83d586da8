// Fastify loads HTTPS at its start, which the gateway does not serve. It takes 9 ms of
// processor time with TLS, so it is loaded only when a server is created.
exports.createServer = (...args) => require('node:https').createServer(...args);
