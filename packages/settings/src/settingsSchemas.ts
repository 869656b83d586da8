import * as z from 'zod';

import {
  backendServerSchema,
  idSchema,
  modelVersionSchema,
  organisationSchema,
  requestClassSchema,
} from './entitySchemas.js';

const port = z.number().int().min(0).max(65_535);
const host = z.union([z.ipv4(), z.ipv6()]).default('127.0.0.1');
const share = z.number().min(0).max(1);
const positive = z.number().positive();
const notNegative = z.number().nonnegative();

const listenSchema = z.strictObject({ host, port });

const tlsSchema = z.strictObject({
  certFile: z.string().min(1),
  keyFile: z.string().min(1),
  caFile: z.string().min(1),
});

/** Settings of one router instance, for `serve`. */
export const instanceSettingsSchema = z.strictObject({
  kind: z.literal('instance'),
  instance: idSchema,
  failureDomain: idSchema,
  /** HTTP for callers. */
  callers: listenSchema,
  /** gRPC for operators and for other instances. */
  control: listenSchema,
  controlTls: tlsSchema.optional(),
  platformUrl: z.url({ protocol: /^https?$/ }),
  operators: z
    .array(
      z.strictObject({
        name: idSchema,
        tokenSha256: z.string().regex(/^[0-9a-f]{64}$/),
      }),
    )
    .default([]),
  maxBodyBytes: z.number().int().positive().default(1_048_576),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

/** Faults that a simulated engine injects. */
const engineFaultsSchema = z.strictObject({
  /** Factor by which the duration of every step is multiplied. */
  slowdown: positive.default(1),
  /** Whether open connections receive no more data while new ones work. */
  silenceOpen: z.boolean().default(false),
  /** Whether open streams are cut and new requests are refused. */
  crashed: z.boolean().default(false),
});

/** Speed and memory of a simulated engine. */
export const engineModelSchema = z.strictObject({
  maxBatch: z.number().int().positive().default(128),
  stepBaseMs: positive.default(8),
  stepPerSequenceMs: positive.default(0.8),
  prefillPerTokenMs: notNegative.default(0.02),
  /** Maximum number of prompt and decoded tokens together in one step. */
  stepTokenBudget: z.number().int().positive().default(2048),
  /** Size of the key-value cache, in tokens. */
  kvTokens: z.number().int().positive().default(200_000),
  prefixCacheTokens: z.number().int().positive().default(60_000),
});

/** Settings of a simulated engine. */
export const engineSettingsSchema = z.strictObject({
  kind: z.literal('engine'),
  id: idSchema,
  listen: listenSchema,
  models: z.array(idSchema).min(1),
  model: engineModelSchema.prefault({}),
  checksFencing: z.boolean().default(true),
  /** Delay until load shows in the load report, in milliseconds. */
  reportLagMs: notNegative.default(500),
  cacheEventLagMs: notNegative.default(1000),
  /** Share of cache events that are lost, from 0 to 1. */
  cacheEventLoss: share.default(0.05),
  faults: engineFaultsSchema.prefault({}),
  seed: z.number().int().default(1),
});

/** Settings of a simulated plain service. */
export const serviceSettingsSchema = z.strictObject({
  kind: z.literal('service'),
  id: idSchema,
  listen: listenSchema,
  services: z.array(idSchema).min(1),
  meanServiceMs: positive.default(20),
  concurrency: z.number().int().positive().default(16),
  reportLagMs: notNegative.default(500),
  seed: z.number().int().default(1),
});

/** Settings of the simulated platform: table, objects, instance list, weights. */
export const platformSettingsSchema = z.strictObject({
  kind: z.literal('platform'),
  listen: listenSchema,
  /** Delay until a change shows in the instance list, in milliseconds. */
  instanceListLagMs: notNegative.default(2000),
  weightLoadsPerMinute: positive.default(6),
  /** Initial content of the instance list. */
  instances: z
    .array(
      z.strictObject({
        id: idSchema,
        failureDomain: idSchema,
        callerAddress: z.url(),
        peerAddress: z.string().min(1),
        state: z.enum(['leaving', 'live']).default('live'),
      }),
    )
    .default([]),
  seed: z.number().int().default(1),
});

/** All entities that operators declare, in one file. */
export const deploymentSchema = z.strictObject({
  kind: z.literal('deployment'),
  organisations: z.array(organisationSchema),
  requestClasses: z.array(requestClassSchema),
  modelVersions: z.array(modelVersionSchema),
  backendServers: z.array(backendServerSchema),
});

/** A stream of similar requests in the generated load. */
const streamSchema = z.strictObject({
  organisation: idSchema,
  /** Key of the organisation in plain text. */
  key: z.string().min(1),
  requestClass: idSchema,
  target: z.union([
    z.strictObject({ model: idSchema }),
    z.strictObject({ service: idSchema }),
  ]),
  requestsPerSecond: positive,
  /** A time span in which the request rate is multiplied by `factor`. */
  burst: z
    .strictObject({
      startSeconds: notNegative,
      seconds: positive,
      factor: positive,
    })
    .optional(),
  promptTokens: z.number().int().positive().default(100),
  maxTokens: z.number().int().positive().default(200),
  /** Time after which a caller stops waiting for the complete answer. */
  patienceMs: positive.default(30_000),
});

/** Settings of the open-loop load generator, for `load`. */
export const loadSettingsSchema = z.strictObject({
  kind: z.literal('load'),
  /** Instances to start from; they return the addresses of the others. */
  entryUrls: z.array(z.url()).min(1),
  seconds: positive.max(3600),
  seed: z.number().int().default(1),
  streams: z.array(streamSchema).min(1),
});

/** All kinds of settings files, distinguished by `kind`. */
export const settingsSchema = z.discriminatedUnion('kind', [
  deploymentSchema,
  engineSettingsSchema,
  instanceSettingsSchema,
  loadSettingsSchema,
  platformSettingsSchema,
  serviceSettingsSchema,
]);

export type Settings = z.infer<typeof settingsSchema>;
export type SettingsKind = Settings['kind'];
export type SettingsOf<K extends SettingsKind> = Extract<
  Settings,
  { readonly kind: K }
>;
export type EngineModelSettings = z.infer<typeof engineModelSchema>;
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
export type Deployment = SettingsOf<'deployment'>;
export type InstanceSettings = SettingsOf<'instance'>;
export type LoadSettings = SettingsOf<'load'>;
export type LoadStream = LoadSettings['streams'][number];
