import type { GatewayRequest } from '@jujubecroft/decisions';

import type { ExecutionRecord } from '../execution/ExecutionRecord.js';
import type { GatewayContext } from '../GatewayContext.js';
import type { CallerResponse } from './CallerResponse.js';
import type { IncomingRequest } from './IncomingRequest.js';
import type { RequestFinisher } from './RequestFinisher.js';
import type { RequestRecorder } from './RequestRecorder.js';
import type { ResponseTimings } from './ResponseTimings.js';
import type { SseEventBuffer } from './SseEventBuffer.js';

/** What all attempts of one request share. */
export interface RequestState {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly call: IncomingRequest;
  readonly execution: ExecutionRecord;
  readonly response: CallerResponse;
  readonly recorder: RequestRecorder;
  readonly finisher: RequestFinisher;
  readonly timings: ResponseTimings;
  /** Events of a stream that another replica can continue; null for other answers. */
  readonly events: SseEventBuffer | null;
}
