import { randomUUID } from 'node:crypto';
import { All, Controller, Inject, Param, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { ServiceReply } from '@jujubecroft/backends';
import type {
  RequestId,
  RouterErrorInstance,
  ServiceId,
} from '@jujubecroft/types';
import { brand, routerError } from '@jujubecroft/types';

import type { AnswerSink } from '../host/Session.js';
import { CONTEXT, type InstanceContext } from '../InstanceContext.js';
import { checkServing } from './checkServing.js';
import type { Caller } from './identifyCaller.js';
import { identifyCaller } from './identifyCaller.js';
import { runOnce } from './runOnce.js';
import { sendError } from './sendError.js';

/** Headers of the caller that end at the instance. */
const OWN_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'x-idempotent',
  'x-request-class',
]);

function passedHeaders(req: FastifyRequest): Record<string, string> {
  return Object.fromEntries(
    Object.entries(req.headers)
      .filter(([name]) => !OWN_HEADERS.has(name))
      .map(([name, value]) => [name, String(value)]),
  );
}

/** Passes a service's reply on and settles the claim of a keyed call. */
class ServiceSink implements AnswerSink<ServiceReply> {
  #reply: ServiceReply | null = null;
  ended = false;

  constructor(
    private readonly context: InstanceContext,
    private readonly caller: Caller,
    private readonly id: RequestId,
    private readonly reply: FastifyReply,
  ) {}

  onProgress(reply: ServiceReply): void {
    this.#reply = reply;
  }

  onWhole(): void {
    this.ended = true;
    if (!this.#reply) {
      return;
    }
    const { status, headers, body } = this.#reply;
    void this.reply
      .code(status)
      .headers({ ...headers, 'x-request-id': this.id })
      .send(body);
    this.#settle(key =>
      this.context.claims.complete(this.caller.organisation.id, key, this.id, {
        status,
        headers,
        bodyBase64: body.toString('base64'),
      }),
    );
  }

  onRefused(err: RouterErrorInstance): void {
    this.ended = true;
    sendError(this.reply, err, this.id);
    if (err.ran === 'no') {
      this.#settle(key =>
        this.context.claims.release(this.caller.organisation.id, key),
      );
    }
  }

  /** A claim that cannot be settled now stays and keeps repeats from running. */
  #settle(
    write: (key: NonNullable<Caller['idempotencyKey']>) => Promise<void>,
  ): void {
    const { idempotencyKey, idempotent } = this.caller;
    if (idempotent || idempotencyKey === null) {
      return;
    }
    write(idempotencyKey).catch((err: unknown) => {
      this.context.log.write('unexpectedError', {
        request: this.id,
        reason: String(err),
      });
    });
  }
}

/** Plain services under `/services/NAME/…`. */
@Controller('services')
export class ServiceController {
  constructor(@Inject(CONTEXT) private readonly context: InstanceContext) {}

  @All(':service/*')
  async call(
    @Param('service') service: string,
    @Req() req: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    checkServing(this.context);
    const caller = identifyCaller(req, this.context.host.router.board.declared);
    this.#checkService(service);
    const id = brand<RequestId>(randomUUID());
    if (await runOnce(this.context, caller, id, reply)) {
      this.#submit(caller, service, id, req, reply);
    }
  }

  #checkService(service: string): void {
    const { backendServers } = this.context.host.configuration;
    const offered = backendServers.some(({ services }) =>
      services.some(name => name === service),
    );
    if (!offered) {
      throw routerError(
        'unknownService',
        `No backend server offers the service "${service}".`,
      );
    }
  }

  #submit(
    caller: Caller,
    service: string,
    id: RequestId,
    req: FastifyRequest,
    reply: FastifyReply,
  ): void {
    const { host } = this.context;
    const { organisation, requestClass, idempotent } = caller;
    const sink = new ServiceSink(this.context, caller, id, reply);
    reply.raw.on('close', () => {
      if (!sink.ended) {
        host.callerLeft(id);
      }
    });
    host.submit({
      kind: 'service',
      request: {
        id,
        organisation: organisation.id,
        requestClass: requestClass.id,
        target: { kind: 'service', service: brand<ServiceId>(service) },
        promptTokens: 0,
        prefixHash: 0,
        maxOutputTokens: 1,
        idempotent,
      },
      method: req.method,
      path: req.url.slice(`/services/${service}`.length),
      headers: passedHeaders(req),
      body: Buffer.isBuffer(req.body) && req.body.length > 0 ? req.body : null,
      sink,
      handle: null,
    });
  }
}
