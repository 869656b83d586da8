import type { IncomingMessage, ServerResponse } from 'node:http';

import type { CallerResponse } from '../forward/CallerResponse.js';
import { configurationFields } from '../forward/logFields.js';
import type { GatewayContext } from '../GatewayContext.js';

/** Why the connection of a caller ended before the response was complete. */
export type IncompleteReason =
  /** The connection ended before the body of the request was complete. */
  | 'bodyBroken'
  /** The caller ended or reset the connection. */
  | 'callerLeft'
  /** Its client reached a limit, so that this instance closed the connection. */
  | 'clientLimit'
  /** This instance ended the response by a decision, which the code names. */
  | 'cut'
  /** An unexpected error of this instance. */
  | 'error'
  /** This instance closed its connections at the end of a stop. */
  | 'instanceStopped'
  /** The connection ended with an earlier response. */
  | 'notBegun'
  /** This instance ended the connection for none of these reasons. */
  | 'unknown';

/** A response that is not complete. */
interface OpenResponse {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly arrivedMs: number;
  /** What writes the response; null before anything may be written. */
  writer: Pick<CallerResponse, 'bodyBytes' | 'cutCode'> | null;
  /** Why it ends; null until something knows it. */
  reason: IncompleteReason | null;
}

/** Parts of the instance that the watch uses. */
type WatchContext = Pick<
  GatewayContext,
  'clock' | 'dialect' | 'log' | 'metrics' | 'router'
>;

/**
 * Watches the responses to callers, and logs and counts each whose connection ends
 * before it is complete, whatever the cause.
 */
export class ResponseWatch {
  readonly #open = new WeakMap<ServerResponse, OpenResponse>();
  #isStopped = false;

  constructor(private readonly context: WatchContext) {}

  /**
   * Watches the response to a request.
   *
   * @param req - the request, of which the head was read
   * @param res - its response
   */
  add(req: IncomingMessage, res: ServerResponse): void {
    const arrivedMs = this.context.clock();
    const open: OpenResponse = {
      req,
      res,
      arrivedMs,
      writer: null,
      reason: null,
    };
    this.#open.set(res, open);
    res.once('close', () => {
      if (!res.writableFinished) {
        this.#onIncomplete(open);
      }
    });
  }

  /** Sets what writes a response; what is set first remains. */
  setWriter(res: ServerResponse, writer: OpenResponse['writer']): void {
    const open = this.#open.get(res);
    if (open) {
      open.writer ??= writer;
    }
  }

  /** Records why a response ends before it is complete. */
  note(res: ServerResponse, reason: IncompleteReason): void {
    const open = this.#open.get(res);
    if (open) {
      open.reason ??= reason;
    }
  }

  /** Records that this instance closes all connections from now on. */
  onStop(): void {
    this.#isStopped = true;
  }

  #reasonOf({ req, writer, reason }: OpenResponse): IncompleteReason {
    const { complete, socket } = req;
    if (reason !== null) {
      return reason;
    }
    const { cutCode = null } = writer ?? {};
    if (cutCode !== null && cutCode !== 'callerLeft') {
      return 'cut';
    }
    if (socket.readableEnded || socket.errored !== null) {
      return complete ? 'callerLeft' : 'bodyBroken';
    }
    if (this.#isStopped) {
      return 'instanceStopped';
    }
    return complete ? 'unknown' : 'bodyBroken';
  }

  #onIncomplete(open: OpenResponse): void {
    const { clock, dialect, log, metrics, router } = this.context;
    const { req, res, arrivedMs, writer } = open;
    const { socket } = req;
    const reason = this.#reasonOf(open);
    metrics.unanswered.inc({ reason });
    log.write('responseIncomplete', {
      request: dialect.readRequest(req.rawHeaders).id,
      reason,
      ...(reason === 'cut' ? { cutCode: writer?.cutCode } : {}),
      afterMs: Math.round(clock() - arrivedMs),
      requestRead: req.complete ? 'whole' : 'part',
      status: res.headersSent ? res.statusCode : null,
      bodyBytes: writer?.bodyBytes ?? 0,
      connectionBytesRead: socket.bytesRead,
      connectionBytesWritten: socket.bytesWritten,
      ...configurationFields(router.board),
    });
  }
}
