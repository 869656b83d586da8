import type { Attempt, RequestRecord, Router } from '@jujubecroft/decisions';
import { createRouter } from '@jujubecroft/decisions';
import type {
  ClassId,
  Configuration,
  FailureDomainId,
  InstanceId,
  ModelId,
  OrganisationId,
  RequestId,
  ServiceId,
} from '@jujubecroft/types';
import { brand, createRandom, RESULT_CODES } from '@jujubecroft/types';

import type { ClassResult } from '../report/ClassResult.js';
import type { Arm } from './Arm.js';
import { CallTracker } from './CallTracker.js';
import type { CallRecord } from './CallRecord.js';
import type { Arrival } from './drawArrivals.js';
import { EventQueue } from './EventQueue.js';
import type { Scenario } from './Scenario.js';
import { SimFleet } from './SimFleet.js';

/** Result of one arm in one scenario. */
export interface ArmRun {
  readonly classes: readonly ClassResult[];
  readonly generatedTokens: number;
  /** Engine tokens in complete answers. */
  readonly completedTokens: number;
  /** Violated guarantees, one line each. */
  readonly brokenPromises: readonly string[];
}

export const SIM_MODEL = brand<ModelId>('model');
export const SIM_SERVICE = brand<ServiceId>('service');

const TICK_INTERVAL_MS = 100;
const MS_PER_SECOND = 1000;
/** Time after the end of the load in which open calls may finish. */
const DRAIN_SECONDS = 120;
const DEFAULT_PRIORITY = 1;

/** One run: simulates routers, engines and services in virtual time. */
class SimRun {
  readonly #events = new EventQueue();
  readonly #routers: Router[] = [];
  readonly #fleet: SimFleet;
  readonly #tracker: CallTracker;

  constructor(
    private readonly scenario: Scenario,
    private readonly arm: Arm,
    private readonly seed: number,
  ) {
    this.#tracker = new CallTracker(scenario);
    this.#fleet = new SimFleet(
      this.#events,
      scenario,
      (readings, takenAtMs) => {
        this.#routers.forEach(router => {
          readings.forEach(({ id, running, waiting }) => {
            router.onReport(id, { takenAtMs, running, waiting });
          });
        });
      },
    );
  }

  run(arrivals: readonly Arrival[]): ArmRun {
    const { seconds } = this.scenario;
    this.#fleet.start();
    this.#startRouters();
    arrivals.forEach(arrival => {
      this.#events.at(arrival.atMs, () => {
        this.#submit(arrival);
      });
    });
    this.#events.runUntil((seconds + DRAIN_SECONDS) * MS_PER_SECOND);
    return {
      classes: this.#tracker.close(),
      generatedTokens: this.#fleet.generatedTokens,
      completedTokens: this.#tracker.completedTokens,
      brokenPromises: this.#tracker.guarantees.broken,
    };
  }

  #startRouters(): void {
    const { scenario, arm } = this;
    const instances = Array.from({ length: scenario.instances }, (_, index) =>
      brand<InstanceId>(`entry-${index + 1}`),
    );
    const configuration: Configuration = {
      revision: 1,
      organisations: scenario.organisations,
      requestClasses: scenario.classes,
      modelVersions: [],
      backendServers: scenario.servers,
    };
    instances.forEach((instance, index) => {
      const domain =
        scenario.failureDomains[index % scenario.failureDomains.length] ?? '';
      const router = createRouter(
        {
          clock: () => this.#events.nowMs,
          random: createRandom(this.seed * MS_PER_SECOND + index),
          placement: {
            instance,
            failureDomain: brand<FailureDomainId>(domain),
            instances,
          },
          effects: {
            dispatch: (record, attempt) => {
              this.#dispatch(router, record, attempt);
            },
            cancel: (record, attempt) => {
              const key = `${record.request.id}/${attempt.number}`;
              this.#events.after(scenario.backendLatencyMs, () => {
                this.#fleet.engine(attempt.backendServer)?.cancel(key);
              });
            },
            refuse: (record, refusal) => {
              const call = this.#tracker.find(record.request.id);
              if (call && RESULT_CODES[refusal.code].ran === 'no') {
                this.#tracker.guarantees.onNotRun(call);
              }
              if (call) {
                this.#tracker.end(call, {
                  kind: 'refused',
                  tokens: call.tokens,
                });
              }
            },
            needsCandidates: () => false,
            explain: event => {
              this.#tracker.guarantees.onDecision(
                event,
                this.#tracker.find(event.request),
              );
            },
          },
        },
        arm.policies,
        arm.options,
      );
      router.configure(configuration);
      this.#routers.push(router);
      this.#events.every(
        TICK_INTERVAL_MS,
        (TICK_INTERVAL_MS * index) / instances.length,
        () => {
          router.tick();
        },
      );
    });
  }

  #submit(arrival: Arrival): void {
    const router = this.#routers[arrival.instance];
    const { stream, id } = arrival;
    const call = this.#tracker.open(arrival);
    const rules = this.scenario.classes.find(
      rule => rule.id === stream.requestClass,
    );
    if (!router || !rules) {
      throw new Error(`The scenario has no class ${stream.requestClass}.`);
    }
    this.#scheduleDeparture(router, call);
    this.#events.after(this.scenario.callerLatencyMs, () => {
      router.submit({
        id: brand<RequestId>(id),
        organisation: brand<OrganisationId>(stream.organisation),
        requestClass: brand<ClassId>(stream.requestClass),
        target:
          stream.target === 'engine'
            ? { kind: 'engine', model: SIM_MODEL }
            : { kind: 'service', service: SIM_SERVICE },
        promptTokens: stream.promptTokens,
        prefixHash: arrival.prefixHash,
        maxOutputTokens: rules.maxOutputTokens,
        idempotent: rules.idempotent,
      });
    });
  }

  /**
   * Schedules the times at which the caller disconnects if the call is still
   * open.
   */
  #scheduleDeparture(router: Router, call: CallRecord): void {
    const { stream, withdrawsAfterMs } = call.arrival;
    const leave = (kind: 'left' | 'withdrawn'): void => {
      if (call.state === 'open') {
        this.#tracker.end(call, { kind, tokens: call.tokens });
        router.onCallerLeft(brand<RequestId>(call.arrival.id));
      }
    };
    if (withdrawsAfterMs < stream.patienceMs) {
      this.#events.after(withdrawsAfterMs, () => {
        leave('withdrawn');
      });
    }
    this.#events.after(stream.patienceMs, () => {
      leave('left');
    });
    this.#events.after(stream.firstTokenTimeoutMs, () => {
      if (call.tokens === 0) {
        leave('left');
      }
    });
  }

  #dispatch(router: Router, record: RequestRecord, attempt: Attempt): void {
    const call = this.#tracker.find(record.request.id);
    if (!call) {
      return;
    }
    this.#events.after(this.scenario.backendLatencyMs, () => {
      if (record.request.target.kind === 'engine') {
        this.#startSequence(router, record, attempt, call);
        return;
      }
      this.#startService(router, record, attempt, call);
    });
  }

  #startSequence(
    router: Router,
    record: RequestRecord,
    attempt: Attempt,
    call: CallRecord,
  ): void {
    const { arrival } = call;
    const { id } = record.request;
    const engine = this.#fleet.engine(attempt.backendServer);
    const isCurrent =
      record.state === 'running' && record.attempt?.number === attempt.number;
    if (!engine || !isCurrent) {
      return;
    }
    const { backendLatencyMs, callerLatencyMs } = this.scenario;
    const accepted = engine.submit(
      {
        id: `${id}/${attempt.number}`,
        promptTokens: arrival.stream.promptTokens + attempt.resumeFrom,
        prefixHash: arrival.prefixHash,
        prefixTokens: arrival.stream.prefixTokens,
        outputTokens: Math.max(1, arrival.outputTokens - attempt.resumeFrom),
        priority: this.arm.usePriorities ? record.rules.tier : DEFAULT_PRIORITY,
      },
      {
        onToken: () => {
          if (router.onTokens(id, attempt.number, 1)) {
            this.#tracker.onToken(call, this.#events.nowMs + callerLatencyMs);
          }
        },
        onFinished: () => {
          if (router.onFinished(id, attempt.number)) {
            this.#tracker.whole(call);
          }
        },
        onLost: () => {
          router.onFailed(id, attempt.number, {
            ran: 'maybe',
            reason: 'broken',
          });
        },
      },
    );
    if (!accepted) {
      this.#events.after(backendLatencyMs, () => {
        router.onFailed(id, attempt.number, { ran: 'no', reason: 'refused' });
      });
    }
  }

  #startService(
    router: Router,
    record: RequestRecord,
    attempt: Attempt,
    call: CallRecord,
  ): void {
    const { id } = record.request;
    const service = this.#fleet.service(attempt.backendServer);
    this.#tracker.guarantees.onServiceStart(call);
    service?.submit(call.arrival.serviceMs, () => {
      this.#events.after(this.scenario.backendLatencyMs, () => {
        if (router.onTokens(id, attempt.number, 1)) {
          const atMs = this.#events.nowMs + this.scenario.callerLatencyMs;
          this.#tracker.onToken(call, atMs);
          router.onFinished(id, attempt.number);
          this.#tracker.whole(call);
        }
      });
    });
  }
}

/**
 * Runs one arm on the calls of a scenario.
 *
 * @param scenario - deployment and faults
 * @param arm - router policies and options
 * @param seed - seed of the routers' random choices
 * @param arrivals - calls of the scenario, the same for all arms
 * @returns results by request class and violated guarantees
 */
export function runArm(
  scenario: Scenario,
  arm: Arm,
  seed: number,
  arrivals: readonly Arrival[],
): ArmRun {
  return new SimRun(scenario, arm, seed).run(arrivals);
}
