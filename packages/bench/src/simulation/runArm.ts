import type { Attempt, RequestRecord, Router } from '@jujubecroft/decisions';
import { createRouter } from '@jujubecroft/decisions';
import type {
  BackendServerId,
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
import { ClassTally } from '../report/ClassTally.js';
import type { Outcome } from '../report/ClassTally.js';
import type { Arm } from './Arm.js';
import type { CallRecord } from './CallRecord.js';
import { createCallRecord } from './CallRecord.js';
import type { Arrival } from './drawArrivals.js';
import { EventQueue } from './EventQueue.js';
import { PromiseWatch } from './PromiseWatch.js';
import type { Scenario, SimFault } from './Scenario.js';
import { SimEngine } from './SimEngine.js';
import { SimService } from './SimService.js';

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
/** As often as an instance with this many servers reads each of them. */
const REPORT_EVERY_MS = 2800;
const MS_PER_SECOND = 1000;
const DRAIN_SECONDS = 120;
const SAME_PRIORITY = 1;

/** One run: a fleet of routers, engines and services on virtual time. */
class SimRun {
  readonly #events = new EventQueue();
  readonly #engines = new Map<BackendServerId, SimEngine>();
  readonly #services = new Map<BackendServerId, SimService>();
  readonly #routers: Router[] = [];
  readonly #calls = new Map<string, CallRecord>();
  readonly #tallies = new Map<string, ClassTally>();
  readonly #promises: PromiseWatch;
  #wholeTokens = 0;

  constructor(
    private readonly scenario: Scenario,
    private readonly arm: Arm,
    private readonly seed: number,
  ) {
    this.#promises = new PromiseWatch(scenario.classes);
    scenario.classes.forEach(rules => {
      this.#tallies.set(rules.id, new ClassTally({ ...rules, name: rules.id }));
    });
  }

  run(arrivals: readonly Arrival[]): ArmRun {
    const { seconds } = this.scenario;
    this.#startServers();
    this.#startRouters();
    this.scenario.faults.forEach(fault => {
      this.#schedule(fault);
    });
    arrivals.forEach(arrival => {
      this.#events.at(arrival.atMs, () => {
        this.#arrive(arrival);
      });
    });
    this.#events.runUntil((seconds + DRAIN_SECONDS) * MS_PER_SECOND);
    [...this.#calls.values()]
      .filter(({ state }) => state === 'open')
      .forEach(call => {
        this.#end(call, { kind: 'left', tokens: call.tokens });
      });
    const classes = [...this.#tallies.values()].map(tally =>
      tally.result(seconds),
    );
    this.#promises.onEnd(classes);
    const generatedTokens = [...this.#engines.values()].reduce(
      (sum, { model }) => sum + model.generatedTokens,
      0,
    );
    return {
      classes,
      generatedTokens,
      wholeTokens: this.#wholeTokens,
      brokenPromises: this.#promises.broken,
    };
  }

  #startServers(): void {
    const { servers, engineModel, networkMs, serviceConcurrency } =
      this.scenario;
    servers.forEach(({ id, models }) => {
      if (models.length > 0) {
        const engine = new SimEngine(this.#events, engineModel, networkMs);
        this.#engines.set(id, engine);
        return;
      }
      this.#services.set(id, new SimService(this.#events, serviceConcurrency));
    });
    this.#events.every(REPORT_EVERY_MS, REPORT_EVERY_MS, () => {
      this.#report();
    });
  }

  /** Reports are taken now and reach the instances after the lag. */
  #report(): void {
    const takenAtMs = this.#events.nowMs;
    const readings = [
      ...[...this.#engines]
        .filter(([, { crashed }]) => !crashed)
        .map(([id, { model }]) => ({
          id,
          running: model.running,
          waiting: model.waiting,
        })),
      ...[...this.#services].map(([id, { running, waiting }]) => ({
        id,
        running,
        waiting,
      })),
    ];
    this.#events.after(this.scenario.reportLagMs, () => {
      this.#routers.forEach(router => {
        readings.forEach(({ id, running, waiting }) => {
          router.onReport(id, { takenAtMs, running, waiting });
        });
      });
    });
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
                this.#engines.get(attempt.backendServer)?.cancel(key);
              });
            },
            refuse: (record, refusal) => {
              const call = this.#calls.get(record.request.id);
              if (call && RESULT_CODES[refusal.code].ran === 'no') {
                this.#promises.onNotRun(call);
              }
              if (call) {
                this.#end(call, { kind: 'refused', tokens: call.tokens });
              }
            },
            isWatched: () => false,
            explain: event => {
              this.#promises.onDecision(event, this.#calls.get(event.request));
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
    const call = createCallRecord(arrival);
    this.#calls.set(id, call);
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
        this.#end(call, { kind, tokens: call.tokens });
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
    const call = this.#calls.get(record.request.id);
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
    const engine = this.#engines.get(attempt.backendServer);
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
            call.tokens += 1;
            call.lastTokenAtMs = this.#events.nowMs + callerMs;
            call.firstTokenAtMs ||= call.lastTokenAtMs;
          }
        },
        onFinished: () => {
          if (router.onFinished(id, attempt.number)) {
            this.#whole(call);
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
    const service = this.#services.get(attempt.backendServer);
    this.#promises.onServiceStart(call);
    service?.submit(call.arrival.serviceMs, () => {
      this.#events.after(this.scenario.networkMs, () => {
        if (router.onTokens(id, attempt.number, 1)) {
          call.tokens += 1;
          call.lastTokenAtMs = this.#events.nowMs + this.scenario.callerMs;
          call.firstTokenAtMs = call.lastTokenAtMs;
          router.onFinished(id, attempt.number);
          this.#whole(call);
        }
      });
    });
  }

  #whole(call: CallRecord): void {
    const { arrival, tokens, firstTokenAtMs, lastTokenAtMs } = call;
    const gaps = Math.max(1, tokens - 1);
    this.#promises.onWhole(call);
    this.#wholeTokens += arrival.stream.target === 'engine' ? tokens : 0;
    this.#end(call, {
      kind: 'whole',
      tokens,
      firstTokenMs: firstTokenAtMs - arrival.atMs,
      betweenTokensMs: (lastTokenAtMs - firstTokenAtMs) / gaps,
    });
  }

  #end(call: CallRecord, outcome: Outcome): void {
    if (call.state === 'ended') {
      return;
    }
    call.state = 'ended';
    this.#tallies.get(call.arrival.stream.requestClass)?.add(outcome);
  }

  #schedule(fault: SimFault): void {
    const engine = [...this.#engines.values()][fault.engine];
    if (!engine) {
      return;
    }
    switch (fault.kind) {
      case 'crash':
        this.#events.at(fault.atMs, () => {
          engine.crash();
        });
        this.#events.at(fault.untilMs, () => {
          engine.crashed = false;
        });
        return;
      case 'silence':
        this.#events.at(fault.atMs, () => {
          engine.silenceOpen();
        });
        return;
      case 'slow':
        this.#events.at(fault.atMs, () => {
          engine.model.slowdown = fault.factor;
        });
        this.#events.at(fault.untilMs, () => {
          engine.model.slowdown = 1;
        });
        return;
    }
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
