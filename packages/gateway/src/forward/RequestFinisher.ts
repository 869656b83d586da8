import type { RequestId, ResultCodeId } from '@jujubecroft/types';
import { RESULT_CODES } from '@jujubecroft/types';

import type { CallerDialect } from '../ports/CallerDialect.js';
import type {
  ExecutionRecord,
  NotRunProof,
} from '../execution/ExecutionRecord.js';
import type { CallerResponse, CompleteResponse } from './CallerResponse.js';
import { gatewayResponse } from './gatewayResponse.js';
import type { LogFields } from './logFields.js';
import type { RequestProgress, RequestRecorder } from './RequestRecorder.js';

/** Log fields of what the caller received; a status of null means none. */
function statusFields(
  response: CompleteResponse | null,
  proof: NotRunProof | null,
): LogFields {
  return {
    status: response?.status ?? null,
    decidedBy: response?.decidedBy ?? null,
    proof: proof?.kind ?? null,
    ...(proof?.kind === 'stated' ? { statedBy: proof.statedBy } : {}),
  };
}

/** Finishes a request that gets no complete response from a replica. */
export class RequestFinisher {
  #failure: CompleteResponse | null = null;

  /**
   * @param dialect - header names and formats of the deployment
   * @param request - id of the request
   * @param answer - response to the caller
   * @param execution - what became of the attempts
   * @param notes - logs and counts the outcome
   */
  constructor(
    private readonly dialect: CallerDialect,
    private readonly request: RequestId,
    private readonly answer: CallerResponse,
    private readonly execution: ExecutionRecord,
    private readonly notes: RequestRecorder,
  ) {}

  /**
   * Remembers an error response of a replica, to be used if nothing better
   * follows.
   */
  keepFailure(failure: CompleteResponse | null): void {
    this.#failure = failure ?? this.#failure;
  }

  /** Finishes the request with the error response of a replica. */
  forwardFailure(progress: RequestProgress): void {
    const failure = this.#failure;
    if (!failure || this.answer.hasStarted) {
      this.finishWithCode('backendMaybeRan', 0, {}, progress);
      return;
    }
    const isSent = !this.answer.isClosed;
    if (isSent) {
      this.answer.send(failure);
    }
    this.notes.ended('requestCut', `status ${failure.status}`, progress, {
      ...statusFields(isSent ? failure : null, null),
    });
  }

  /**
   * Finishes the request with a response of the gateway's own.
   *
   * @param code - result code
   * @param retryAfterMs - retry delay in milliseconds; 0 if a retry is of no
   *   use
   * @param facts - fields for the log
   * @param progress - attempts so far
   */
  finishWithCode(
    code: ResultCodeId,
    retryAfterMs: number,
    facts: LogFields,
    progress: RequestProgress,
  ): void {
    if (code === 'callerLeft') {
      this.answer.cut(code);
      this.notes.ended('callerLeft', code, progress, facts);
      return;
    }
    // The error response of a replica is more specific than a result code of
    // the gateway.
    if (this.#failure && !this.answer.hasStarted && this.execution.mayHaveRun) {
      this.forwardFailure(progress);
      return;
    }
    const isRefusal = RESULT_CODES[code].ran === 'no';
    const proof = isRefusal ? this.execution.proveNotRun() : null;
    const reportedCode = isRefusal && !proof ? 'backendMaybeRan' : code;
    const started = this.answer.hasStarted;
    const response = gatewayResponse(
      this.dialect,
      reportedCode,
      this.request,
      retryAfterMs,
    );
    const isSent = !started && !this.answer.isClosed;
    if (started) {
      this.answer.cut(reportedCode);
    } else if (isSent && proof) {
      this.answer.refuse(response, proof);
    } else if (isSent) {
      this.answer.send(response);
    }
    const event = proof ? 'requestRefused' : 'requestCut';
    this.notes.ended(event, reportedCode, progress, {
      retryAfterMs: Math.round(retryAfterMs),
      started,
      ...statusFields(isSent ? response : null, proof),
      ...(reportedCode === code ? {} : { cause: code }),
      ...facts,
    });
  }
}
