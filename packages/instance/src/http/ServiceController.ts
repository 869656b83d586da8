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
import { assertNotLeaving } from './assertNotLeaving.js';
import type { Caller } from './identifyCaller.js';
import { identifyCaller } from './identifyCaller.js';
import { claimIdempotencyKey } from './claimIdempotencyKey.js';
import { sendError } from './sendError.js';

/** Request headers that are not forwarded to the service. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
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

function forwardedHeaders(req: FastifyRequest): Record<string, string> {
  return Object.fromEntries(
    Object.entries(req.headers)
      .filter(([name]) => !UNFORWARDED_HEADERS.has(name))
      .map(([name, value]) => [name, String(value)]),
  );
}

/**
 * Sends a service's reply to the caller and updates the claim of its
 * idempotency key.
 */
class ServiceSink implements AnswerSink<ServiceReply> {
  #serviceReply: ServiceReply | null = null;
  ended = false;

  constructor(
    private readonly context: InstanceContext,
    private readonly caller: Caller,
    private readonly id: RequestId,
    private readonly reply: FastifyReply,
  ) {}

  onProgress(reply: ServiceReply): void {
    this.#serviceReply = reply;
  }

  onComplete(): void {
    this.ended = true;
    if (!this.#serviceReply) {
      return;
    }
    const { status, headers, body, framing } = this.#serviceReply;
    if (framing === 'closeDelimited') {
      this.#sendUnframed(this.#serviceReply);
      return;
    }
    void this.reply
      .code(status)
      .headers({ ...headers, 'x-request-id': this.id })
      .send(body);
    this.#updateClaim(key =>
      this.context.claims.complete(this.caller.organisation.id, key, this.id, {
        status,
        headers,
        bodyBase64: body.toString('base64'),
      }),
    );
  }

  /**
   * Sends a reply that only the end of its connection delimited the same way,
   * since a length would state that it is complete. For the same reason it is not
   * stored; its claim remains, so that repeats are refused.
   */
  #sendUnframed({ status, headers, body }: ServiceReply): void {
    const { raw } = this.reply.hijack();
    raw.useChunkedEncodingByDefault = false;
    raw.shouldKeepAlive = false;
    raw.writeHead(status, { ...headers, 'x-request-id': this.id });
    raw.end(body);
  }

  onRefused(err: RouterErrorInstance): void {
    this.ended = true;
    sendError(this.reply, err, this.id);
    if (err.ran === 'no') {
      this.#updateClaim(key =>
        this.context.claims.release(this.caller.organisation.id, key),
      );
    }
  }

  /**
   * Updates the claim, if there is one. If this fails, the claim remains and
   * repeats are refused.
   */
  #updateClaim(
    update: (key: NonNullable<Caller['idempotencyKey']>) => Promise<void>,
  ): void {
    const { idempotencyKey, idempotent } = this.caller;
    if (idempotent || idempotencyKey === null) {
      return;
    }
    update(idempotencyKey).catch((err: unknown) => {
      this.context.log.write('unexpectedError', {
        request: this.id,
        reason: String(err),
      });
    });
  }
}

/** Serves plain services under `/services/NAME/…`. */
@Controller('services')
export class ServiceController {
  constructor(@Inject(CONTEXT) private readonly context: InstanceContext) {}

  @All(':service/*')
  async call(
    @Param('service') service: string,
    @Req() req: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    assertNotLeaving(this.context);
    const caller = identifyCaller(req, this.context.host.router.board.declared);
    this.#assertOfferedService(service);
    const id = brand<RequestId>(randomUUID());
    if (await claimIdempotencyKey(this.context, caller, id, reply)) {
      this.#submit(caller, service, id, req, reply);
    }
  }

  #assertOfferedService(service: string): void {
    const { backendServers } = this.context.host.configuration;
    const isOffered = backendServers.some(({ services }) =>
      services.some(name => name === service),
    );
    if (!isOffered) {
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
      headers: forwardedHeaders(req),
      body: Buffer.isBuffer(req.body) && req.body.length > 0 ? req.body : null,
      sink,
      handle: null,
    });
  }
}
