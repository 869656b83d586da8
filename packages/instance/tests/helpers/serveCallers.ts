// Serves callers until its input ends, and prints the port: node serveCallers.ts
import type { AddressInfo } from 'node:net';
import { SILENT_LOG } from '@jujubecroft/events';

import { createHttpApp } from '../../src/http/createHttpApp.js';
import type { InstanceContext } from '../../src/InstanceContext.js';

const app = await createHttpApp({
  settings: { maxBodyBytes: 1000 },
  log: SILENT_LOG,
} as unknown as InstanceContext);
await app.listen(0, '127.0.0.1');
const { port } = app.getHttpServer().address() as AddressInfo;
console.log(port);
process.stdin.resume().once('end', () => process.exit());
