import type { InstanceId, OrganisationId } from '@jujubecroft/types';

import { demandShare } from './demandShare.js';

interface Reading {
  readonly demand: number;
  readonly atMs: number;
}

interface Account {
  readonly openedAtMs: number;
  readonly readings: Map<InstanceId, Reading>;
}

/** Reports count for this long; a reporter that is gone stops counting then. */
const READING_MS = 10_000;
/** A new owner waits for every reporter before it gives shares. */
const SETTLE_MS = 3000;

/** Demand that instances reported to the owner of some organisations. */
export class DemandLedger {
  readonly #accounts = new Map<OrganisationId, Account>();

  /**
   * Takes a report and works out the reporter's share.
   *
   * Guards against a change of owner: an owner that has just begun knows only
   * the first reporters and would give each of them nearly the whole limit. Until
   * its account is old enough it gives nothing, and reporters keep what they have.
   *
   * @param organisation - whose limit it is
   * @param reporter - the instance that reports
   * @param demand - requests a second offered there
   * @param instances - live instances in the fleet
   * @param nowMs - present time
   * @returns the share, or null while it is not known well enough
   */
  report(
    organisation: OrganisationId,
    reporter: InstanceId,
    demand: number,
    instances: number,
    nowMs: number,
  ): number | null {
    const account = this.#accountOf(organisation, nowMs);
    account.readings.set(reporter, { demand, atMs: nowMs });
    this.#forgetOld(account, nowMs);
    if (nowMs - account.openedAtMs < SETTLE_MS) {
      return null;
    }
    const others = [...account.readings]
      .filter(([id]) => id !== reporter)
      .map(([, reading]) => reading.demand);
    const silent = Math.max(0, instances - 1 - others.length);
    const none = Array.from({ length: silent }, () => 0);
    return demandShare(demand, [...others, ...none]);
  }

  /** Drops accounts that nobody reports to any more. */
  forget(nowMs: number): void {
    this.#accounts.forEach((account, organisation) => {
      this.#forgetOld(account, nowMs);
      if (account.readings.size === 0) {
        this.#accounts.delete(organisation);
      }
    });
  }

  #accountOf(organisation: OrganisationId, nowMs: number): Account {
    const known = this.#accounts.get(organisation);
    if (known) {
      return known;
    }
    const account: Account = { openedAtMs: nowMs, readings: new Map() };
    this.#accounts.set(organisation, account);
    return account;
  }

  #forgetOld(account: Account, nowMs: number): void {
    account.readings.forEach(({ atMs }, id) => {
      if (nowMs - atMs > READING_MS) {
        account.readings.delete(id);
      }
    });
  }
}
