// Fastify loads HTTP/2 at its start, which the gateway does not serve.
exports.createServer = (...args) => require('node:http2').createServer(...args);
exports.createSecureServer = (...args) =>
  require('node:http2').createSecureServer(...args);
