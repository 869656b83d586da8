import type { BackendServerId } from '@jujubecroft/types';

import type { EventQueue } from './EventQueue.js';
import type { Scenario, SimFault } from './Scenario.js';
import { SimEngine } from './SimEngine.js';
import { SimService } from './SimService.js';

/** Load of one backend server at one moment. */
export interface LoadReading {
  readonly id: BackendServerId;
  readonly running: number;
  readonly waiting: number;
}

/** Told of readings once they have travelled. */
export type ReadingsListener = (
  readings: readonly LoadReading[],
  takenAtMs: number,
) => void;

/** As often as an instance with this many servers reads each of them. */
const REPORT_EVERY_MS = 2800;

/** The engines and plain services of one run, with their faults and reports. */
export class SimFleet {
  readonly #engines = new Map<BackendServerId, SimEngine>();
  readonly #services = new Map<BackendServerId, SimService>();

  /**
   * @param events - the run's virtual time
   * @param scenario - servers, faults and delays
   * @param onReadings - told of loads after the scenario's lag
   */
  constructor(
    private readonly events: EventQueue,
    private readonly scenario: Scenario,
    private readonly onReadings: ReadingsListener,
  ) {}

  /** Tokens that all engines made. */
  get generatedTokens(): number {
    return [...this.#engines.values()].reduce(
      (sum, { model }) => sum + model.generatedTokens,
      0,
    );
  }

  engine(id: BackendServerId): SimEngine | undefined {
    return this.#engines.get(id);
  }

  service(id: BackendServerId): SimService | undefined {
    return this.#services.get(id);
  }

  /** Starts all servers, their reports and the faults. */
  start(): void {
    const { servers, engineModel, networkMs, serviceConcurrency, faults } =
      this.scenario;
    servers.forEach(({ id, models }) => {
      if (models.length > 0) {
        const engine = new SimEngine(this.events, engineModel, networkMs);
        this.#engines.set(id, engine);
        return;
      }
      this.#services.set(id, new SimService(this.events, serviceConcurrency));
    });
    this.events.every(REPORT_EVERY_MS, REPORT_EVERY_MS, () => {
      this.#report();
    });
    faults.forEach(fault => {
      this.#schedule(fault);
    });
  }

  /** Reports are taken now and reach the instances after the lag. */
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
