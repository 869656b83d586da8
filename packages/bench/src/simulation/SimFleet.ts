import type { BackendServerId } from '@jujubecroft/types';

import type { EventQueue } from './EventQueue.js';
import type { Scenario, SimFault } from './Scenario.js';
import { SimEngine } from './SimEngine.js';
import { SimService } from './SimService.js';

/** Load of one backend server at one time. */
export interface LoadReading {
  readonly id: BackendServerId;
  readonly running: number;
  readonly waiting: number;
}

/** Called with the load of all backend servers, after the report lag. */
export type ReadingsListener = (
  readings: readonly LoadReading[],
  takenAtMs: number,
) => void;

/** Interval at which an instance with this number of servers polls each one. */
const REPORT_INTERVAL_MS = 2800;

/**
 * Engines and plain services of one run, with their faults and load reports.
 */
export class SimFleet {
  readonly #engines = new Map<BackendServerId, SimEngine>();
  readonly #services = new Map<BackendServerId, SimService>();

  /**
   * @param events - event queue of the run
   * @param scenario - servers, faults and latencies
   * @param onReadings - called with the loads after the scenario's report lag
   */
  constructor(
    private readonly events: EventQueue,
    private readonly scenario: Scenario,
    private readonly onReadings: ReadingsListener,
  ) {}

  /** Number of tokens that all engines generated. */
  get generatedTokens(): number {
    return [...this.#engines.values()].reduce(
      (sum, { model }) => sum + model.generatedTokens,
      0,
    );
  }

  /** @returns the engine with an id, or undefined if there is none */
  engine(id: BackendServerId): SimEngine | undefined {
    return this.#engines.get(id);
  }

  /** @returns the plain service with an id, or undefined if there is none */
  service(id: BackendServerId): SimService | undefined {
    return this.#services.get(id);
  }

  /** Creates all servers, and schedules their load reports and faults. */
  start(): void {
    const {
      servers,
      engineModel,
      backendLatencyMs,
      serviceConcurrency,
      faults,
    } = this.scenario;
    servers.forEach(({ id, models }) => {
      if (models.length > 0) {
        const engine = new SimEngine(
          this.events,
          engineModel,
          backendLatencyMs,
        );
        this.#engines.set(id, engine);
        return;
      }
      this.#services.set(id, new SimService(this.events, serviceConcurrency));
    });
    this.events.every(REPORT_INTERVAL_MS, REPORT_INTERVAL_MS, () => {
      this.#report();
    });
    faults.forEach(fault => {
      this.#schedule(fault);
    });
  }

  /**
   * Reads the loads now and delivers them after the report lag; crashed engines
   * are left out.
   */
  #report(): void {
    const takenAtMs = this.events.nowMs;
    const readings: readonly LoadReading[] = [
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
    this.events.after(this.scenario.reportLagMs, () => {
      this.onReadings(readings, takenAtMs);
    });
  }

  #schedule(fault: SimFault): void {
    const engine = [...this.#engines.values()][fault.engine];
    if (!engine) {
      return;
    }
    switch (fault.kind) {
      case 'crash':
        this.events.at(fault.atMs, () => {
          engine.crash();
        });
        this.events.at(fault.untilMs, () => {
          engine.crashed = false;
        });
        return;
      case 'silence':
        this.events.at(fault.atMs, () => {
          engine.silenceOpen();
        });
        return;
      case 'slow':
        this.events.at(fault.atMs, () => {
          engine.model.slowdown = fault.factor;
        });
        this.events.at(fault.untilMs, () => {
          engine.model.slowdown = 1;
        });
        return;
    }
  }
}
