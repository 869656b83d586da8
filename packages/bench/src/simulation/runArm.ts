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
import { CallLedger } from './CallLedger.js';
import type { CallRecord } from './CallRecord.js';
import type { Arrival } from './drawArrivals.js';
import { EventQueue } from './EventQueue.js';
import type { Scenario } from './Scenario.js';
import { SimFleet } from './SimFleet.js';

/** What one arm brought in one scenario. */
export interface ArmRun {
  readonly classes: readonly ClassResult[];
  readonly generatedTokens: number;
  readonly wholeTokens: number;
  readonly brokenPromises: readonly string[];
}

export const SIM_MODEL = brand<ModelId>('model');
export const SIM_SERVICE = brand<ServiceId>('service');

const TICK_MS = 100;
const MS_PER_SECOND = 1000;
const DRAIN_SECONDS = 120;
const SAME_PRIORITY = 1;

/** One run: a fleet of routers, engines and services on virtual time. */
class SimRun {
  readonly #events = new EventQueue();
  readonly #routers: Router[] = [];
  readonly #fleet: SimFleet;
  readonly #ledger: CallLedger;

  constructor(
    private readonly scenario: Scenario,
    private readonly arm: Arm,
    private readonly seed: number,
  ) {
    this.#ledger = new CallLedger(scenario);
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
        this.#arrive(arrival);
      });
    });
    this.#events.runUntil((seconds + DRAIN_SECONDS) * MS_PER_SECOND);
    return {
      classes: this.#ledger.close(),
      generatedTokens: this.#fleet.generatedTokens,
      wholeTokens: this.#ledger.wholeTokens,
      brokenPromises: this.#ledger.promises.broken,
    };
  }

  #startRouters(): void {
    const { scenario, arm } = this;
    const instances = Array.from({ length: scenario.instances }, (_, index) =>
      brand<InstanceId>(`entry-${index + 1}`),
    );
    const cfg: Configuration = {
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
              this.#events.after(scenario.networkMs, () => {
                this.#fleet.engine(attempt.backendServer)?.cancel(key);
              });
            },
            refuse: (record, refusal) => {
              const call = this.#ledger.find(record.request.id);
              if (call && RESULT_CODES[refusal.code].ran === 'no') {
                this.#ledger.promises.onNotRun(call);
              }
              if (call) {
                this.#ledger.end(call, {
                  kind: 'refused',
                  tokens: call.tokens,
                });
              }
            },
            needsCandidates: () => false,
            explain: event => {
              this.#ledger.promises.onDecision(
                event,
                this.#ledger.find(event.request),
              );
            },
          },
        },
        arm.policies,
        arm.options,
      );
      router.configure(cfg);
      this.#routers.push(router);
      this.#events.every(TICK_MS, (TICK_MS * index) / instances.length, () => {
        router.tick();
      });
    });
  }

  #arrive(arrival: Arrival): void {
    const router = this.#routers[arrival.instance];
    const { stream, id } = arrival;
    const call = this.#ledger.open(arrival);
    const rules = this.scenario.classes.find(
      rule => rule.id === stream.requestClass,
    );
    if (!router || !rules) {
      throw new Error(`The scenario has no class ${stream.requestClass}.`);
    }
    this.#watchPatience(router, call);
    this.#events.after(this.scenario.callerMs, () => {
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

  #watchPatience(router: Router, call: CallRecord): void {
    const { stream, leavesAfterMs } = call.arrival;
    const leave = (kind: 'left' | 'withdrawn'): void => {
      if (call.state === 'open') {
        this.#ledger.end(call, { kind, tokens: call.tokens });
        router.onCallerLeft(brand<RequestId>(call.arrival.id));
      }
    };
    if (leavesAfterMs < stream.patienceMs) {
      this.#events.after(leavesAfterMs, () => {
        leave('withdrawn');
      });
    }
    this.#events.after(stream.patienceMs, () => {
      leave('left');
    });
    this.#events.after(stream.firstPatienceMs, () => {
      if (call.tokens === 0) {
        leave('left');
      }
    });
  }

  #dispatch(router: Router, record: RequestRecord, attempt: Attempt): void {
    const call = this.#ledger.find(record.request.id);
    if (!call) {
      return;
    }
    this.#events.after(this.scenario.networkMs, () => {
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
    const { networkMs, callerMs } = this.scenario;
    const accepted = engine.submit(
      {
        id: `${id}/${attempt.number}`,
        promptTokens: arrival.stream.promptTokens + attempt.resumeFrom,
        prefixHash: arrival.prefixHash,
        prefixTokens: arrival.stream.prefixTokens,
        outputTokens: Math.max(1, arrival.outputTokens - attempt.resumeFrom),
        priority: this.arm.usePriorities ? record.rules.tier : SAME_PRIORITY,
      },
      {
        onToken: () => {
          if (router.onTokens(id, attempt.number, 1)) {
            this.#ledger.onToken(call, this.#events.nowMs + callerMs);
          }
        },
        onFinished: () => {
          if (router.onFinished(id, attempt.number)) {
            this.#ledger.whole(call);
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
      this.#events.after(networkMs, () => {
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
    this.#ledger.promises.onServiceStart(call);
    service?.submit(call.arrival.serviceMs, () => {
      this.#events.after(this.scenario.networkMs, () => {
        if (router.onTokens(id, attempt.number, 1)) {
          const atMs = this.#events.nowMs + this.scenario.callerMs;
          this.#ledger.onToken(call, atMs);
          router.onFinished(id, attempt.number);
          this.#ledger.whole(call);
        }
      });
    });
  }
}

/**
 * Runs one arm on the calls of a scenario.
 *
 * @param scenario - deployment, streams and faults
 * @param arm - the way of deciding
 * @param seed - for the arm's own random choices
 * @param arrivals - calls, the same for every arm
 * @returns results by class and broken promises
 */
export function runArm(
  scenario: Scenario,
  arm: Arm,
  seed: number,
  arrivals: readonly Arrival[],
): ArmRun {
  return new SimRun(scenario, arm, seed).run(arrivals);
}
