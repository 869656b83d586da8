import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8, 16];
const PREDICTION_ERROR_BUCKETS_MS = [
  -2000, -500, -200, -50, 0, 50, 200, 500, 2000,
];

/**
 * Metrics of one instance of the gateway.
 *
 * Label values come from fixed sets or from the declared services and
 * priorities, never from callers; this bounds the number of time series.
 */
export class GatewayMetrics {
  readonly registry = new Registry();
  readonly #registers = [this.registry];

  readonly requests = new Counter({
    name: 'jujubecroft_gateway_requests_total',
    help: 'Requests by kind of route, priority and outcome.',
    labelNames: ['kind', 'priority', 'outcome'] as const,
    registers: this.#registers,
  });
  readonly refusals = new Counter({
    name: 'jujubecroft_gateway_refusals_total',
    help: 'Requests that this instance refused, by result code and priority.',
    labelNames: ['code', 'priority'] as const,
    registers: this.#registers,
  });
  readonly statuses = new Counter({
    name: 'jujubecroft_gateway_statuses_total',
    help: 'Statuses sent to callers: those that promise that a request did not run one by one, others by class; by who decided them and what proves that the request did not run.',
    labelNames: ['status', 'decided_by', 'proof'] as const,
    registers: this.#registers,
  });
  readonly connectionErrors = new Counter({
    name: 'jujubecroft_gateway_connection_errors_total',
    help: "Errors of callers' connections, by error code and by the status that was written on the connection.",
    labelNames: ['code', 'status'] as const,
    registers: this.#registers,
  });
  readonly clientLimits = new Counter({
    name: 'jujubecroft_gateway_client_limits_total',
    help: 'Connections of clients that were closed since their server reached a limit, by server and limit.',
    labelNames: ['server', 'limit'] as const,
    registers: this.#registers,
  });
  readonly unanswered = new Counter({
    name: 'jujubecroft_gateway_unanswered_total',
    help: 'Requests whose connection ended before their response was complete, by reason.',
    labelNames: ['reason'] as const,
    registers: this.#registers,
  });
  readonly withdrawals = new Counter({
    name: 'jujubecroft_gateway_withdrawals_total',
    help: 'Attempts at backend servers that this instance withdrew, by reason.',
    labelNames: ['service', 'reason'] as const,
    registers: this.#registers,
  });
  readonly requestErrors = new Counter({
    name: 'jujubecroft_gateway_request_errors_total',
    help: 'Requests whose handling threw an unexpected error, by what their callers got.',
    labelNames: ['outcome'] as const,
    registers: this.#registers,
  });
  readonly heldBack = new Counter({
    name: 'jujubecroft_gateway_above_share_total',
    help: 'Requests refused since their organisation used more than its share of a short capacity.',
    labelNames: ['service', 'priority'] as const,
    registers: this.#registers,
  });
  readonly attempts = new Counter({
    name: 'jujubecroft_gateway_attempts_total',
    help: 'Attempts at backend servers by result.',
    labelNames: ['service', 'result'] as const,
    registers: this.#registers,
  });
  readonly responses = new Counter({
    name: 'jujubecroft_gateway_responses_total',
    help: 'Responses of backend servers by framing and end: a result, or insideEvent for streams cut off there.',
    labelNames: ['service', 'framing', 'end'] as const,
    registers: this.#registers,
  });
  readonly invalidResponses = new Counter({
    name: 'jujubecroft_gateway_invalid_responses_total',
    help: 'Attempts that ended since what arrived is no response, or could not be processed, by fault.',
    labelNames: ['service', 'fault'] as const,
    registers: this.#registers,
  });
  readonly continuedStreams = new Counter({
    name: 'jujubecroft_gateway_continued_streams_total',
    help: 'Attempts that continue a stream, by who continues it and whether at the software version that began it.',
    labelNames: ['service', 'by', 'version'] as const,
    registers: this.#registers,
  });
  readonly streamOrigins = new Counter({
    name: 'jujubecroft_gateway_stream_origins_total',
    help: 'Requests that continue a stream, by how the software version was known that began it.',
    labelNames: ['service', 'source'] as const,
    registers: this.#registers,
  });
  readonly streamRecordCalls = new Counter({
    name: 'jujubecroft_gateway_stream_record_calls_total',
    help: 'Calls to the store that read or wrote records of streams, by how they ended.',
    labelNames: ['kind'] as const,
    registers: this.#registers,
  });
  readonly relayed = new Counter({
    name: 'jujubecroft_gateway_relayed_requests_total',
    help: 'Requests that were sent to a backend server through another instance.',
    labelNames: ['service'] as const,
    registers: this.#registers,
  });
  readonly tunnels = new Gauge({
    name: 'jujubecroft_gateway_tunnels',
    help: 'Connections to backend servers through another instance, by whether this instance uses or carries them.',
    labelNames: ['role'] as const,
    registers: this.#registers,
  });
  readonly lostPaths = new Gauge({
    name: 'jujubecroft_gateway_lost_paths',
    help: 'Backend servers that other instances reach and this one does not.',
    registers: this.#registers,
  });
  readonly retries = new Counter({
    name: 'jujubecroft_gateway_retries_total',
    help: 'Attempts beyond the first, by what the one before came to.',
    labelNames: ['service', 'after'] as const,
    registers: this.#registers,
  });
  readonly firstByte = new Histogram({
    name: 'jujubecroft_gateway_first_byte_seconds',
    help: 'Time from arrival to the first byte of the answer.',
    labelNames: ['kind', 'priority'] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: this.#registers,
  });
  readonly whole = new Histogram({
    name: 'jujubecroft_gateway_answer_seconds',
    help: 'Time from arrival to the end of a whole answer.',
    labelNames: ['kind', 'priority'] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: this.#registers,
  });
  readonly predictionError = new Histogram({
    name: 'jujubecroft_gateway_prediction_error_ms',
    help: 'Time to the first byte at the backend server less what was predicted.',
    labelNames: ['service'] as const,
    buckets: PREDICTION_ERROR_BUCKETS_MS,
    registers: this.#registers,
  });
  readonly storeCalls = new Counter({
    name: 'jujubecroft_gateway_store_calls_total',
    help: 'Calls of the store by call and result.',
    labelNames: ['call', 'result'] as const,
    registers: this.#registers,
  });
  readonly dutyCalls = new Counter({
    name: 'jujubecroft_gateway_duty_calls_total',
    help: 'Calls of the platform that one instance makes for all, by duty and result.',
    labelNames: ['duty', 'result'] as const,
    registers: this.#registers,
  });
  readonly dutyToken = new Gauge({
    name: 'jujubecroft_gateway_duty_token',
    help: 'Fencing token with which this instance holds the duties; 0 where it does not.',
    registers: this.#registers,
  });
  readonly peerMessages = new Counter({
    name: 'jujubecroft_gateway_peer_messages_total',
    help: 'Messages to other instances: questions, answers, news told, pulls.',
    labelNames: ['kind'] as const,
    registers: this.#registers,
  });
  readonly loopDelay = new Gauge({
    name: 'jujubecroft_gateway_event_loop_delay_seconds',
    help: 'Longest time by which a timer was late since the last reading.',
    registers: this.#registers,
  });
  readonly memory = new Gauge({
    name: 'jujubecroft_gateway_memory_bytes',
    help: 'Memory of the process: resident, and used of the heap.',
    labelNames: ['part'] as const,
    registers: this.#registers,
  });
  readonly viewAge = new Gauge({
    name: 'jujubecroft_gateway_view_age_seconds',
    help: 'How long ago a view was known to be current.',
    labelNames: ['view'] as const,
    registers: this.#registers,
  });
  readonly sends = new Counter({
    name: 'jujubecroft_gateway_sends_total',
    help: 'Requests sent to backend servers, by state of the view when they were sent.',
    labelNames: ['view'] as const,
    registers: this.#registers,
  });
  readonly leaseBypasses = new Counter({
    name: 'jujubecroft_gateway_view_lease_bypasses_total',
    help: 'Times at which requests began to be placed by an outdated view.',
    registers: this.#registers,
  });
  readonly sendToFirstByte = new Histogram({
    name: 'jujubecroft_gateway_send_to_first_byte_seconds',
    help: 'Time from the last check before a request is sent to the first byte of its answer.',
    labelNames: ['service'] as const,
    buckets: LATENCY_BUCKETS_S,
    registers: this.#registers,
  });
  readonly lenientParser = new Gauge({
    name: 'jujubecroft_gateway_lenient_parser_heads',
    help: 'Kinds of malformed heads that the HTTP parser of the runtime accepts, found at the start; the instance refuses them.',
    registers: this.#registers,
  });
  readonly version = new Gauge({
    name: 'jujubecroft_gateway_configuration_version',
    help: 'Version of the configuration in force.',
    registers: this.#registers,
  });
  readonly members = new Gauge({
    name: 'jujubecroft_gateway_instances',
    help: 'Live instances, this one included.',
    registers: this.#registers,
  });
  readonly backends = new Gauge({
    name: 'jujubecroft_gateway_backend_servers',
    help: 'Backend servers by service and how they are used.',
    labelNames: ['service', 'verdict'] as const,
    registers: this.#registers,
  });
  readonly speeds = new Gauge({
    name: 'jujubecroft_gateway_backend_servers_by_speed',
    help: 'Backend servers by service and class of lasting speed, where it is uneven.',
    labelNames: ['service', 'speed'] as const,
    registers: this.#registers,
  });
  readonly inFlight = new Gauge({
    name: 'jujubecroft_gateway_requests_in_flight',
    help: 'Requests that have not ended.',
    registers: this.#registers,
  });
  readonly barred = new Gauge({
    name: 'jujubecroft_gateway_barred_requests',
    help: 'Contents of requests that are not sent since they crash backend servers.',
    registers: this.#registers,
  });
  readonly promptParts = new Gauge({
    name: 'jujubecroft_gateway_prompt_parts',
    help: 'Parts of prompts that are suspected to crash backend servers, or barred for it.',
    labelNames: ['state'] as const,
    registers: this.#registers,
  });
  readonly budgetLeft = new Gauge({
    name: 'jujubecroft_gateway_retry_budget_left',
    help: 'Repeats left in this instance part of the retry budget.',
    labelNames: ['service'] as const,
    registers: this.#registers,
  });
}
