import type { handleServerStreamingCall, handleUnaryCall } from '@grpc/grpc-js';
import type { proto } from '@jujubecroft/operator';

import type { InstanceContext } from '../InstanceContext.js';
import { authenticate } from './authenticate.js';
import { toGrpcError } from './toGrpcError.js';
import { OperatorChanges } from './OperatorChanges.js';
import { OperatorViews, toDecisionMessage } from './OperatorViews.js';

/**
 * Events buffered for one watcher; further ones are dropped until it has read
 * some.
 */
const MAX_BUFFERED_EVENTS = 1_048_576;

type Handler<Req, Res> = (operator: string, req: Req) => Promise<Res> | Res;

/**
 * Creates the handlers of the operator service.
 *
 * @param context - context of the instance
 * @returns handlers that authenticate each call before running it
 */
export function createOperatorHandlers(
  context: InstanceContext,
): proto.OperatorServer {
  const { operators } = context.settings;
  const changes = new OperatorChanges(context);
  const views = new OperatorViews(context);

  const handle =
    <Req, Res>(handler: Handler<Req, Res>): handleUnaryCall<Req, Res> =>
    (call, callback) => {
      const run = async (): Promise<Res> =>
        handler(authenticate(call.metadata, operators), call.request);
      run().then(
        res => {
          callback(null, res);
        },
        (err: unknown) => {
          context.log.write('changeRefused', { reason: String(err) });
          callback(toGrpcError(err));
        },
      );
    };

  const watch: handleServerStreamingCall<
    proto.WatchRequest,
    proto.DecisionEvent
  > = call => {
    try {
      authenticate(call.metadata, operators);
    } catch (err) {
      call.emit('error', toGrpcError(err));
      return;
    }
    const stop = context.feed.watch(call.request, event => {
      if (call.writableLength < MAX_BUFFERED_EVENTS) {
        call.write(toDecisionMessage(event));
      }
    });
    call.on('cancelled', stop);
    call.on('close', stop);
  };

  return {
    declare: handle((operator, req: proto.DeclareRequest) =>
      changes.declare(operator, req),
    ),
    remove: handle((operator, req: proto.RemoveRequest) =>
      changes.remove(operator, req),
    ),
    drain: handle((operator, req: proto.DrainRequest) =>
      changes.drain(operator, req),
    ),
    list: handle((_operator, req: proto.ListRequest) => views.list(req)),
    status: handle(() => views.status()),
    audit: handle((_operator, req: proto.AuditRequest) => views.audit(req)),
    watch,
  };
}
